/** The range of each field of an upstream, wherever it comes from. */
import {
  asId,
  type FailureDomain,
  type Milliseconds,
  type ServiceId,
  type UpstreamId,
} from "@wasabivane/common";
import type { SoftwareVersion, Upstream } from "@wasabivane/admission";
import {
  expectAddress,
  expectHint,
  expectInteger,
  expectString,
} from "./rowValues.ts";

/** As many requests as there are ports; each request has a connection. */
const MAXIMUM_SLOTS = 65_535;
/** Start of the year 2100 in Unix milliseconds. */
const MAXIMUM_START_TIME = 4_102_444_800_000;
const MAXIMUM_WARMUP_MS: Milliseconds = 3_600_000;
/** Longer texts do not fit into messages among hosts. */
const MAXIMUM_TEXT_LENGTH = 256;
/** Requests name their upstream in a header. */
const NAME_PATTERN = /^[\x21-\x7e]{1,200}$/;

/** The values of an {@link Upstream} before they are checked. */
export type UpstreamFields = { readonly [Field in keyof Upstream]: unknown };

/**
 * Returns an upstream with all fields in range; throws a `TypeError` that names the
 * first one that is not. A longer warm-up is shortened.
 */
export function expectUpstream(fields: UpstreamFields): Upstream {
  const read = <Value>(
    field: keyof Upstream,
    expect: (value: unknown) => Value,
  ): Value => {
    try {
      return expect(fields[field]);
    } catch (thrown) {
      throw new TypeError(`${field}: ${(thrown as Error).message}`);
    }
  };
  return {
    upstream: asId<UpstreamId>(read("upstream", expectText)),
    name: read("name", expectName),
    bornAt: read(
      "bornAt",
      (value) => expectInteger(value, { maximum: MAXIMUM_START_TIME }),
    ),
    service: asId<ServiceId>(read("service", expectText)),
    address: read("address", expectAddress),
    failureDomain: asId<FailureDomain>(read("failureDomain", expectText)),
    slots: read(
      "slots",
      (value) => expectInteger(value, { minimum: 1, maximum: MAXIMUM_SLOTS }),
    ),
    softwareVersion: asId<SoftwareVersion>(read("softwareVersion", expectText)),
    isLeaving: fields.isLeaving === true,
    coldFor: read(
      "coldFor",
      (value) => expectHint(value, { maximum: MAXIMUM_WARMUP_MS }),
    ),
  };
}

/**
 * Returns the upstreams whose fields are in range, and the names of the others.
 * Hosts of another release may list entries that this one does not use.
 */
export function selectUpstreams(
  all: readonly UpstreamFields[],
): { upstreams: Upstream[]; rejected: string[] } {
  const upstreams: Upstream[] = [];
  const rejected: string[] = [];
  for (const fields of all) {
    try {
      upstreams.push(expectUpstream(fields));
    } catch {
      rejected.push(expectString(fields.name));
    }
  }
  return { upstreams, rejected };
}

function expectText(value: unknown): string {
  const text = expectString(value);
  if (text.length <= MAXIMUM_TEXT_LENGTH) return text;
  throw new TypeError(`Expected at most ${MAXIMUM_TEXT_LENGTH} characters`);
}

function expectName(value: unknown): string {
  const name = expectString(value);
  if (NAME_PATTERN.test(name)) return name;
  throw new TypeError("Expected 1 to 200 printable ASCII characters");
}
