/**
 * Serializes a value to canonical JSON as in RFC 8785: keys sorted by code
 * unit, no white space, properties that are `undefined` left out.
 */
export function canonicalJson(value: unknown): string {
  return JSON.stringify(value, sortKeys);
}

function sortKeys(_key: string, value: unknown): unknown {
  if (typeof value !== "object" || value === null || Array.isArray(value)) {
    return value;
  }
  const sorted: [string, unknown][] = Object.entries(value).sort(
    ([left], [right]) => (left < right ? -1 : 1),
  );
  return Object.fromEntries(sorted);
}
