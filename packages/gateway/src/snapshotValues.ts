/** Checks the types and ranges of the values in a peer's snapshot. */
import { asId, type FailureDomain } from "@wasabivane/common";
import type { LapsedUpstream } from "@wasabivane/admission";
import type { UpstreamListChange } from "./gossipMessage.ts";
import type { ListCheck } from "./listDigest.ts";
import type { StoreSnapshot } from "./operatorEndpoints.ts";
import {
  expectArray,
  expectInteger,
  expectNumber,
  expectSpan,
  expectString,
} from "./rowValues.ts";
import { selectUpstreams, type UpstreamFields } from "./upstreamFields.ts";

/** The values of an encoded object, by name. */
type Fields = Readonly<Record<string, unknown>>;

/**
 * Returns a snapshot whose values are in range; throws a `TypeError` otherwise.
 * Upstreams that cannot be used are left out.
 */
export function expectSnapshot(value: unknown): StoreSnapshot {
  const fields = expectFields(value);
  const { policy, change, listCheck } = fields;
  if (!(policy instanceof Uint8Array)) throw new TypeError("Expected bytes");
  return {
    policy,
    policyRevision: expectInteger(fields["policyRevision"]),
    proofAge: expectAge(fields["proofAge"]),
    upstreams: selectUpstreams(expectUpstreamFields(fields["upstreams"]))
      .upstreams,
    change: isAbsent(change) ? undefined : expectChange(change),
    kept: expectArray(fields["kept"]).map(expectLapsed),
    evacuated: expectDomains(fields["evacuated"]),
    listRevision: expectInteger(fields["listRevision"]),
    listCheck: isAbsent(listCheck) ? undefined : expectCheck(listCheck),
  };
}

/** A host that has never confirmed its policy tells an infinite age. */
function expectAge(value: unknown): number {
  return value === Infinity ? Infinity : expectSpan(value);
}

function expectChange(value: unknown): UpstreamListChange {
  const { from, to, removed, evacuated, ...rest } = expectFields(value);
  const { upstreams, rejected } = selectUpstreams(
    expectUpstreamFields(rest["upstreams"]),
  );
  return {
    from: expectInteger(from),
    to: expectInteger(to),
    upstreams,
    removed: [...expectArray(removed).map(expectString), ...rejected],
    ...!isAbsent(evacuated) && { evacuated: expectDomains(evacuated) },
  };
}

function isAbsent(value: unknown): boolean {
  return value === undefined || value === null;
}

function expectLapsed(value: unknown): LapsedUpstream {
  const { name, left } = expectFields(value);
  return { name: expectString(name), left: expectNumber(left) };
}

function expectCheck(value: unknown): ListCheck {
  const { count, hash } = expectFields(value);
  return { count: expectInteger(count), hash: expectNumber(hash) };
}

function expectDomains(value: unknown): FailureDomain[] {
  return expectArray(value).map((domain) =>
    asId<FailureDomain>(expectString(domain))
  );
}

function expectUpstreamFields(value: unknown): UpstreamFields[] {
  return expectArray(value).map((fields) =>
    expectFields(fields) as unknown as UpstreamFields
  );
}

function expectFields(value: unknown): Fields {
  const isObject = typeof value === "object" && value !== null;
  if (!isObject) throw new TypeError("Expected an object");
  return value as Fields;
}
