import {
  asId,
  type EpochMilliseconds,
  type UpstreamId,
} from "@wasabivane/common";

/** Births are long numbers; as text they stand in every word to a peer. */
const TEXT_BASE = 36;

/** The id of one life of an upstream; equal on every host that reads the same entry. */
export function createUpstreamId(
  name: string,
  bornAt: EpochMilliseconds,
): UpstreamId {
  const life = bornAt > 0 ? `${name}@${bornAt.toString(TEXT_BASE)}` : name;
  return asId<UpstreamId>(life);
}
