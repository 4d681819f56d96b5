import {
  type Bundle,
  bundleParts,
  type DocumentPath,
  formatPath,
  type PartComparison,
  type PartKey,
  partKey,
} from "@wasabivane/bundle";

/** One changed value inside a part; `undefined` means absent. */
export interface ValueChange {
  readonly path: DocumentPath;
  readonly former: unknown;
  readonly later: unknown;
}

/** One added, removed or changed part. */
export interface PartChange {
  readonly kind: "added" | "removed" | "changed";
  readonly key: PartKey;
  /** The changed values; empty unless `kind` is `changed`. */
  readonly values: readonly ValueChange[];
}

const KIND_SYMBOLS: Readonly<Record<PartChange["kind"], string>> = {
  added: "+",
  removed: "-",
  changed: "~",
};

/** Lists the changes of a comparison, with the changed values of each part. */
export function findPartChanges(
  from: Bundle,
  { changed, removed }: PartComparison,
): PartChange[] {
  const formerParts = bundleParts(from)._unsafeUnwrap();
  const changes = changed.map((part): PartChange => {
    const key = partKey(part);
    const formerPart = formerParts.get(key);
    if (formerPart === undefined) return { kind: "added", key, values: [] };
    const values = findValueChanges(formerPart.value, part.value);
    return { kind: "changed", key, values };
  });
  const removals = removed.map((key): PartChange => ({
    kind: "removed",
    key,
    values: [],
  }));
  return [...changes, ...removals];
}

/** Formats a change as one line, and one more for each changed value. */
export function formatPartChange({ kind, key, values }: PartChange): string[] {
  const details = values.map(({ path, former, later }) =>
    `    ${formatPath(path)}: ${formatValue(former)} -> ${formatValue(later)}`
  );
  return [`${KIND_SYMBOLS[kind]} ${key}`, ...details];
}

function findValueChanges(
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
    findValueChanges(former[key], later[key], [...path, key])
  );
}

function isPlainObject(value: unknown): value is Record<string, unknown> {
  return typeof value === "object" && value !== null && !Array.isArray(value);
}

function formatValue(value: unknown): string {
  return value === undefined ? "nothing" : JSON.stringify(value);
}
