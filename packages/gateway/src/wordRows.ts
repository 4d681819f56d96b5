/** Rows of a word: hosts and changes of the list. */
import {
  asId,
  type FailureDomain,
  type HostId,
  type Incarnation,
  type ServiceId,
  type UpstreamId,
} from "@wasabivane/common";
import type { Upstream } from "@wasabivane/admission";
import { listOf, numberOf, type Row, rowsOf, textOf } from "./messageFields.ts";
import type { PeerMention, UpstreamListChange } from "./peerWord.ts";

/** A host, as another tells of it, in the order of its fields. */
export function packMention(mention: PeerMention): Row {
  return [
    mention.host,
    mention.incarnation,
    mention.address,
    mention.failureDomain,
    Math.round(mention.age),
    Math.round(mention.silence),
    mention.isLeaving,
    mention.canRead,
    mention.cores,
  ];
}

/** Reads what {@link packMention} made. */
export function readMention(row: Row): PeerMention {
  return {
    host: asId<HostId>(textOf(row[0])),
    incarnation: asId<Incarnation>(textOf(row[1])),
    address: textOf(row[2]),
    failureDomain: asId<FailureDomain>(textOf(row[3])),
    age: numberOf(row[4]),
    silence: numberOf(row[5]),
    isLeaving: row[6] === true,
    canRead: row[7] === true,
    cores: numberOf(row[8]),
  };
}

/** A change of the list of upstreams. */
export function packChange(
  { from, to, upstreams, removed, evacuated }: UpstreamListChange,
): Row {
  const rows = upstreams.map((upstream) => [
    upstream.upstream,
    upstream.name,
    upstream.bornAt,
    upstream.service,
    upstream.address,
    upstream.failureDomain,
    upstream.slots,
    upstream.isLeaving,
    upstream.coldFor,
  ]);
  const row = [from, to, rows, removed];
  return evacuated === undefined ? row : [...row, evacuated];
}

/** Reads what {@link packChange} made. */
export function readChange(
  [from, to, upstreams, removed, evacuated]: Row,
): UpstreamListChange {
  return {
    from: numberOf(from),
    to: numberOf(to),
    upstreams: rowsOf(upstreams).map(readUpstream),
    removed: listOf(removed).map(textOf),
    ...evacuated !== undefined &&
      { evacuated: listOf(evacuated).map(readFailureDomain) },
  };
}

function readUpstream(row: Row): Upstream {
  return {
    upstream: asId<UpstreamId>(textOf(row[0])),
    name: textOf(row[1]),
    bornAt: numberOf(row[2]),
    service: asId<ServiceId>(textOf(row[3])),
    address: textOf(row[4]),
    failureDomain: asId<FailureDomain>(textOf(row[5])),
    slots: numberOf(row[6]),
    isLeaving: row[7] === true,
    coldFor: numberOf(row[8]),
  };
}

function readFailureDomain(value: unknown): FailureDomain {
  return asId<FailureDomain>(textOf(value));
}
