/** Messages among hosts that confirm upstreams and policies, and their rows. */
import { asId, type HostId } from "@wasabivane/common";
import {
  expectInteger,
  expectNumber,
  expectString,
  type Row,
} from "./rowValues.ts";

/** A host's question which upstreams and policy the store has now. */
export interface ConfirmationQuery {
  readonly host: HostId;
  /** Unique among the questions of all starts of the host. */
  readonly query: string;
}

/** The reply to a {@link ConfirmationQuery}. */
export interface ConfirmationReply {
  readonly host: HostId;
  readonly query: string;
  /**
   * Store revision of the list that the store showed to be current after the
   * question came; 0 if it did not.
   */
  readonly listRevision: number;
  /** Version of the policy that it showed to be current likewise. */
  readonly policyVersion: number;
}

/** Encodes a query. */
export function encodeConfirmationQuery(
  { host, query }: ConfirmationQuery,
): Row {
  return [host, query];
}

/** Decodes the row of {@link encodeConfirmationQuery}. */
export function decodeConfirmationQuery(
  [host, query]: Row,
): ConfirmationQuery {
  return { host: asId<HostId>(expectString(host)), query: expectString(query) };
}

/** Encodes a reply. */
export function encodeConfirmationReply(
  { host, query, listRevision, policyVersion }: ConfirmationReply,
): Row {
  return [host, query, listRevision, policyVersion];
}

/** Decodes the row of {@link encodeConfirmationReply}. */
export function decodeConfirmationReply(
  [host, query, listRevision, policyVersion]: Row,
): ConfirmationReply {
  return {
    host: asId<HostId>(expectString(host)),
    query: expectString(query),
    listRevision: expectInteger(listRevision),
    policyVersion: expectNumber(policyVersion),
  };
}
