/** Encoding of the parts of gossip messages as rows. */
import {
  asId,
  type FailureDomain,
  type HostId,
  type Incarnation,
  type ServiceId,
  type UpstreamId,
} from "@wasabivane/common";
import type { SoftwareVersion, Upstream } from "@wasabivane/admission";
import {
  expectArray,
  expectNumber,
  expectRows,
  expectString,
  type Row,
} from "./rowValues.ts";
import type { PeerRecord, UpstreamListChange } from "./gossipMessage.ts";

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
    address: expectString(row[2]),
    failureDomain: asId<FailureDomain>(expectString(row[3])),
    age: expectNumber(row[4]),
    timeSinceHeard: expectNumber(row[5]),
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

/** Decodes the row of {@link encodeListChange}. */
export function decodeListChange(
  [from, to, upstreams, removed, evacuated]: Row,
): UpstreamListChange {
  return {
    from: expectNumber(from),
    to: expectNumber(to),
    upstreams: expectRows(upstreams).map(decodeUpstream),
    removed: expectArray(removed).map(expectString),
    ...evacuated !== undefined &&
      { evacuated: expectArray(evacuated).map(decodeFailureDomain) },
  };
}

function decodeUpstream(row: Row): Upstream {
  return {
    upstream: asId<UpstreamId>(expectString(row[0])),
    name: expectString(row[1]),
    bornAt: expectNumber(row[2]),
    service: asId<ServiceId>(expectString(row[3])),
    address: expectString(row[4]),
    failureDomain: asId<FailureDomain>(expectString(row[5])),
    slots: expectNumber(row[6]),
    isLeaving: row[7] === true,
    coldFor: expectNumber(row[8]),
    softwareVersion: asId<SoftwareVersion>(expectString(row[9])),
  };
}

function decodeFailureDomain(value: unknown): FailureDomain {
  return asId<FailureDomain>(expectString(value));
}
