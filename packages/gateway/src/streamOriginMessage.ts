/** Messages among hosts about where streams began, and their encoding as rows. */
import {
  asId,
  type HostId,
  type RequestId,
  type ServiceId,
} from "@wasabivane/common";
import type { SoftwareVersion } from "@wasabivane/admission";
import { expectRows, expectString, type Row } from "./rowValues.ts";
import type { StreamOrigin } from "./streamOriginTable.ts";

const PENDING = "pending";

/** Streams and where they began, for hosts to keep. */
export type StreamOriginRecords = readonly (readonly [
  RequestId,
  StreamOrigin,
])[];

/** A host's question where a stream began. */
export interface StreamOriginQuery {
  readonly host: HostId;
  /** The request that takes the stream up. */
  readonly request: RequestId;
  /** The request that brought the first event; `undefined` if not named. */
  readonly resumes: RequestId | undefined;
  /** Service that the request would go to. */
  readonly service: ServiceId;
}

/** The reply to a {@link StreamOriginQuery}. */
export interface StreamOriginReply {
  readonly host: HostId;
  readonly request: RequestId;
  /** `undefined` if the replying host does not know. */
  readonly origin: StreamOrigin | undefined;
  /** Whether the host is confirming its list, and replies again. */
  readonly isPending: boolean;
}

/** Encodes records. */
export function encodeOriginRecords(records: StreamOriginRecords): Row {
  return records.map(([request, { service, softwareVersion }]) => [
    request,
    service,
    softwareVersion,
  ]);
}

/** Decodes the row of {@link encodeOriginRecords}. */
export function decodeOriginRecords(row: Row): StreamOriginRecords {
  return expectRows(row).map(([request, ...origin]) => [
    asId<RequestId>(expectString(request)),
    decodeOrigin(origin),
  ]);
}

/** Encodes a query; a missing request becomes an empty string. */
export function encodeOriginQuery(
  { host, request, resumes, service }: StreamOriginQuery,
): Row {
  return [host, request, resumes ?? "", service];
}

/** Decodes the row of {@link encodeOriginQuery}. */
export function decodeOriginQuery(row: Row): StreamOriginQuery {
  const [host, request, resumes, service] = row.map(expectString);
  return {
    host: asId<HostId>(host!),
    request: asId<RequestId>(request!),
    resumes: resumes === "" ? undefined : asId<RequestId>(resumes!),
    service: asId<ServiceId>(service!),
  };
}

/** Encodes a reply. */
export function encodeOriginReply(
  { host, request, origin, isPending }: StreamOriginReply,
): Row {
  const row = [host, request];
  if (isPending) return [...row, PENDING];
  if (origin === undefined) return row;
  return [...row, origin.service, origin.softwareVersion];
}

/** Decodes the row of {@link encodeOriginReply}. */
export function decodeOriginReply(
  [host, request, ...origin]: Row,
): StreamOriginReply {
  return {
    host: asId<HostId>(expectString(host)),
    request: asId<RequestId>(expectString(request)),
    origin: origin.length < 2 ? undefined : decodeOrigin(origin),
    isPending: origin.length === 1 && origin[0] === PENDING,
  };
}

function decodeOrigin([service, softwareVersion]: Row): StreamOrigin {
  return {
    service: asId<ServiceId>(expectString(service)),
    softwareVersion: asId<SoftwareVersion>(expectString(softwareVersion)),
  };
}
