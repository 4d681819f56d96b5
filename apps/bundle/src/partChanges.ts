import {
  type Bundle,
  bundleParts,
  type DocumentPath,
  formatPath,
  type PartComparison,
  type PartKey,
  partKey,
} from "@wasabivane/bundle";

/** One value inside a part; `undefined` stands for an absent one. */
export interface ValueChange {
  readonly path: DocumentPath;
  readonly former: unknown;
  readonly later: unknown;
}

/** One part that is new, gone or different. */
export interface PartChange {
  readonly kind: "added" | "removed" | "changed";
  readonly key: PartKey;
  /** The differing values of a changed part. */
  readonly values: readonly ValueChange[];
}

const MARKS: Readonly<Record<PartChange["kind"], string>> = {
  added: "+",
  removed: "-",
  changed: "~",
};

/** The changes of a comparison, down to the values. */
export function findPartChanges(
  from: Bundle,
  { changed, removed }: PartComparison,
): PartChange[] {
  const former = bundleParts(from)._unsafeUnwrap();
  const changes = changed.map((part): PartChange => {
    const key = partKey(part);
    const before = former.get(key);
    if (before === undefined) return { kind: "added", key, values: [] };
    const values = valueChanges(before.value, part.value);
    return { kind: "changed", key, values };
  });
  const gone = removed.map((key): PartChange => ({
    kind: "removed",
    key,
    values: [],
  }));
  return [...changes, ...gone];
}

/** A change as people read it: one line, and one more for each value. */
export function formatPartChange({ kind, key, values }: PartChange): string[] {
  const details = values.map(({ path, former, later }) =>
    `    ${formatPath(path)}: ${textOf(former)} -> ${textOf(later)}`
  );
  return [`${MARKS[kind]} ${key}`, ...details];
}

function valueChanges(
  former: unknown,
  later: unknown,
  path: DocumentPath = [],
): ValueChange[] {
  if (!isPlainObject(former) || !isPlainObject(later)) {
    const isSame = JSON.stringify(former) === JSON.stringify(later);
    return isSame ? [] : [{ path, former, later }];
  }
  const keys = new Set([...Object.keys(former), ...Object.keys(later)]);
  return [...keys].flatMap((key) =>
    valueChanges(former[key], later[key], [...path, key])
  );
}

function isPlainObject(value: unknown): value is Record<string, unknown> {
  return typeof value === "object" && value !== null && !Array.isArray(value);
}

function textOf(value: unknown): string {
  return value === undefined ? "nothing" : JSON.stringify(value);
}
