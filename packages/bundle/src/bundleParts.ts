import type { Branded } from "@wasabivane/common";
import { err, ok, type Result } from "neverthrow";
import { z } from "zod";
import {
  type Bundle,
  bundleSchema,
  clientAccountSchema,
  failureDomainSchema,
  serviceSchema,
  stopPlanSchema,
  tierSchema,
  upstreamSchema,
} from "./schema.ts";

/** Identifies a part within its bundle, for example `upstream/drafter-01`. */
export type PartKey = Branded<string, "PartKey">;

/** The schema of the bundle properties that are not lists of parts. */
export const bundleScalarsSchema = bundleSchema.omit({
  failureDomains: true,
  tiers: true,
  services: true,
  upstreams: true,
  clientAccounts: true,
  stopPlans: true,
});

/** The schema of a part, the unit of digests and differences. */
export const bundlePartSchema = z.discriminatedUnion("kind", [
  z.strictObject({ kind: z.literal("scalars"), value: bundleScalarsSchema }),
  z.strictObject({
    kind: z.literal("failure-domain"),
    value: failureDomainSchema,
  }),
  z.strictObject({ kind: z.literal("tier"), value: tierSchema }),
  z.strictObject({ kind: z.literal("service"), value: serviceSchema }),
  z.strictObject({ kind: z.literal("upstream"), value: upstreamSchema }),
  z.strictObject({
    kind: z.literal("client-account"),
    value: clientAccountSchema,
  }),
  z.strictObject({ kind: z.literal("stop-plan"), value: stopPlanSchema }),
]);

/** A part of a bundle; see {@link bundlePartSchema}. */
export type BundlePart = z.infer<typeof bundlePartSchema>;
/** Properties that are not lists; see {@link bundleScalarsSchema}. */
export type BundleScalars = z.infer<typeof bundleScalarsSchema>;

/** The kinds of parts that a bundle holds in lists. */
export type ListedPartKind = Exclude<BundlePart["kind"], "scalars">;

interface PartList {
  /** The bundle property that holds the list. */
  readonly property: keyof Bundle;
  /** The property that identifies a part within the list. */
  readonly id: string;
}

/** The list property and id property of each kind of part. */
export const PART_LISTS: Readonly<Record<ListedPartKind, PartList>> = {
  "failure-domain": { property: "failureDomains", id: "failureDomain" },
  tier: { property: "tiers", id: "tier" },
  service: { property: "services", id: "service" },
  upstream: { property: "upstreams", id: "upstream" },
  "client-account": { property: "clientAccounts", id: "account" },
  "stop-plan": { property: "stopPlans", id: "stopPlan" },
};

const SCALARS_KEY = "scalars" as PartKey;

/** The error for two parts with the same key. */
export interface DuplicatePart {
  readonly kind: "duplicate-part";
  readonly key: PartKey;
}

/** Returns the key of a part. */
export function partKey(part: BundlePart): PartKey {
  if (part.kind === "scalars") return SCALARS_KEY;
  return listedPartKey(part.kind, part.value);
}

/**
 * Returns the parts of a bundle by key. Duplicate keys are an error, since
 * otherwise a bundle could have parts that its digest does not cover.
 */
export function bundleParts(
  bundle: Bundle,
): Result<Map<PartKey, BundlePart>, DuplicatePart> {
  const parts = new Map<PartKey, BundlePart>();
  parts.set(SCALARS_KEY, { kind: "scalars", value: scalarsOf(bundle) });
  for (const kind of Object.keys(PART_LISTS) as ListedPartKind[]) {
    for (const value of listOf(bundle, kind)) {
      const key = listedPartKey(kind, value);
      if (parts.has(key)) return err({ kind: "duplicate-part", key });
      parts.set(key, { kind, value } as BundlePart);
    }
  }
  return ok(parts);
}

/** Builds a bundle from parts in any order; its lists are sorted by id. */
export function assembleBundle(parts: Iterable<BundlePart>): Bundle {
  const bundle: Record<string, unknown> = {};
  const lists = new Map<ListedPartKind, object[]>();
  for (const kind of Object.keys(PART_LISTS) as ListedPartKind[]) {
    lists.set(kind, []);
  }
  for (const part of parts) {
    if (part.kind === "scalars") Object.assign(bundle, part.value);
    else lists.get(part.kind)!.push(part.value);
  }
  for (const [kind, values] of lists) {
    bundle[PART_LISTS[kind].property] = sortById(kind, values);
  }
  return bundle as Bundle;
}

function scalarsOf(bundle: Bundle): BundleScalars {
  const scalars: Partial<Bundle> = { ...bundle };
  for (const { property } of Object.values(PART_LISTS)) {
    delete scalars[property];
  }
  return scalars as BundleScalars;
}

function listOf(bundle: Bundle, kind: ListedPartKind): readonly object[] {
  return bundle[PART_LISTS[kind].property] as unknown as readonly object[];
}

function listedPartKey(kind: ListedPartKind, value: object): PartKey {
  return `${kind}/${idOf(kind, value)}` as PartKey;
}

function idOf(kind: ListedPartKind, value: object): string | number {
  const id = PART_LISTS[kind].id;
  return (value as Record<string, string | number>)[id]!;
}

function sortById(kind: ListedPartKind, values: object[]): object[] {
  return values.sort((left, right) =>
    idOf(kind, left) < idOf(kind, right) ? -1 : 1
  );
}
