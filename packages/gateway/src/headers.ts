/** Name and value of one header line, as received. */
export type HeaderLine = readonly [name: string, value: string];

/** Header values by lower-case name. */
export type HeaderValues = Readonly<
  Record<string, string | string[] | undefined>
>;

/** Headers that apply to a single connection and must not be forwarded. */
const HOP_BY_HOP_HEADERS = new Set([
  "connection",
  "keep-alive",
  "proxy-authenticate",
  "proxy-authorization",
  "proxy-connection",
  "te",
  "trailer",
  "transfer-encoding",
  "upgrade",
  "expect",
]);

/** Returns the first value of a header. */
export function headerValue(
  headers: HeaderValues,
  name: string,
): string | undefined {
  const value = headers[name];
  return Array.isArray(value) ? value[0] : value;
}

/** Pairs the names and values of a Node.js `rawHeaders` list. */
export function pairHeaders(raw: readonly string[]): HeaderLine[] {
  const lines: HeaderLine[] = [];
  for (let index = 0; index + 1 < raw.length; index += 2) {
    lines.push([raw[index]!, raw[index + 1]!]);
  }
  return lines;
}

/** Whether a request names its host more than once, and so no certain route. */
export function hasRepeatedHost(raw: readonly string[]): boolean {
  const hosts = pairHeaders(raw).filter(([name]) =>
    name.toLowerCase() === "host"
  );
  return hosts.length > 1;
}

/** Removes hop-by-hop headers, including those named by `connection`. */
export function selectEndToEndHeaders(
  lines: readonly HeaderLine[],
): HeaderLine[] {
  const named = new Set<string>();
  for (const [name, value] of lines) {
    if (name.toLowerCase() !== "connection") continue;
    for (const token of value.split(",")) {
      named.add(token.trim().toLowerCase());
    }
  }
  return lines.filter(([name]) => {
    const lower = name.toLowerCase();
    return !HOP_BY_HOP_HEADERS.has(lower) && !named.has(lower);
  });
}

/** Converts parsed headers to lines, one for each value. */
export function toHeaderLines(headers: HeaderValues): HeaderLine[] {
  const lines: HeaderLine[] = [];
  for (const [name, value] of Object.entries(headers)) {
    if (value === undefined) continue;
    if (Array.isArray(value)) {
      for (const item of value) lines.push([name, item]);
    } else lines.push([name, value]);
  }
  return lines;
}
