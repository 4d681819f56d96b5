/**
 * JSON text that depends only on the value: object keys sorted by code unit,
 * no white space, absent for `undefined`. Numbers and strings are written as
 * ECMAScript writes them, as in RFC 8785.
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
