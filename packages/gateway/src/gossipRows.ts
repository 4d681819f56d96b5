/** Encoding of the parts of gossip messages as rows. */
import {
  asId,
  type FailureDomain,
  type HostId,
  type Incarnation,
} from "@wasabivane/common";
import {
  expectAddress,
  expectArray,
  expectInteger,
  expectNumber,
  expectRows,
  expectSpan,
  expectString,
  type Row,
} from "./rowValues.ts";
import type { PeerRecord, UpstreamListChange } from "./gossipMessage.ts";
import { selectUpstreams, type UpstreamFields } from "./upstreamFields.ts";

/** Encodes a peer record. */
export function encodePeerRecord(record: PeerRecord): Row {
  return [
    record.host,
    record.incarnation,
    record.address,
    record.failureDomain,
    Math.round(record.age),
    Math.round(record.timeSinceHeard),
    record.isLeaving,
    record.isStoreReachable,
    record.cores,
  ];
}

/** Decodes the row of {@link encodePeerRecord}. */
export function decodePeerRecord(row: Row): PeerRecord {
  return {
    host: asId<HostId>(expectString(row[0])),
    incarnation: asId<Incarnation>(expectString(row[1])),
    address: expectAddress(row[2]),
    failureDomain: asId<FailureDomain>(expectString(row[3])),
    age: expectNumber(row[4]),
    timeSinceHeard: expectSpan(row[5]),
    isLeaving: row[6] === true,
    isStoreReachable: row[7] === true,
    cores: expectNumber(row[8]),
  };
}

/** Encodes a change of the upstream list. */
export function encodeListChange(
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
    upstream.softwareVersion,
  ]);
  const row = [from, to, rows, removed];
  return evacuated === undefined ? row : [...row, evacuated];
}

/**
 * Decodes the row of {@link encodeListChange}. An upstream that cannot be used is
 * removed.
 */
export function decodeListChange(
  [from, to, rows, removed, evacuated]: Row,
): UpstreamListChange {
  const { upstreams, rejected } = selectUpstreams(
    expectRows(rows).map(upstreamFieldsOf),
  );
  return {
    from: expectInteger(from),
    to: expectInteger(to),
    upstreams,
    removed: [...expectArray(removed).map(expectString), ...rejected],
    ...evacuated !== undefined &&
      { evacuated: expectArray(evacuated).map(decodeFailureDomain) },
  };
}

function upstreamFieldsOf(row: Row): UpstreamFields {
  return {
    upstream: row[0],
    name: row[1],
    bornAt: row[2],
    service: row[3],
    address: row[4],
    failureDomain: row[5],
    slots: row[6],
    isLeaving: row[7],
    coldFor: row[8],
    softwareVersion: row[9],
  };
}

function decodeFailureDomain(value: unknown): FailureDomain {
  return asId<FailureDomain>(expectString(value));
}
