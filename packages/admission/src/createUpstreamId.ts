import {
  asId,
  type EpochMilliseconds,
  type UpstreamId,
} from "@wasabivane/common";

/**
 * Keeps the start time short, as ids are part of most messages between hosts.
 */
const TEXT_BASE = 36;

/**
 * Returns the id of one incarnation of an upstream; equal on every host that
 * reads the same entry.
 */
export function createUpstreamId(
  name: string,
  bornAt: EpochMilliseconds,
): UpstreamId {
  const id = bornAt > 0 ? `${name}@${bornAt.toString(TEXT_BASE)}` : name;
  return asId<UpstreamId>(id);
}
