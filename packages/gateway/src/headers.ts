/** One header field as it stood in the message. */
export type HeaderLine = readonly [name: string, value: string];

/** Header fields by their names in lower case. */
export type HeaderValues = Readonly<
  Record<string, string | string[] | undefined>
>;

/** Fields that concern one connection and must not be passed on. */
const CONNECTION_FIELDS = new Set([
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

/** The first value of a field. */
export function headerValue(
  fields: HeaderValues,
  name: string,
): string | undefined {
  const value = fields[name];
  return Array.isArray(value) ? value[0] : value;
}

/** Pairs names and values of a raw list as Node.js gives it. */
export function fieldLines(raw: readonly string[]): HeaderLine[] {
  const lines: HeaderLine[] = [];
  for (let index = 0; index + 1 < raw.length; index += 2) {
    lines.push([raw[index]!, raw[index + 1]!]);
  }
  return lines;
}

/** Leaves out the fields that concern one connection, named ones included. */
export function endToEndFields(lines: readonly HeaderLine[]): HeaderLine[] {
  const named = new Set<string>();
  for (const [name, value] of lines) {
    if (name.toLowerCase() !== "connection") continue;
    for (const token of value.split(",")) {
      named.add(token.trim().toLowerCase());
    }
  }
  return lines.filter(([name]) => {
    const lower = name.toLowerCase();
    return !CONNECTION_FIELDS.has(lower) && !named.has(lower);
  });
}

/** Field lines of parsed values, one line for each value. */
export function linesOfValues(fields: HeaderValues): HeaderLine[] {
  const lines: HeaderLine[] = [];
  for (const [name, value] of Object.entries(fields)) {
    if (value === undefined) continue;
    if (Array.isArray(value)) {
      for (const item of value) lines.push([name, item]);
    } else lines.push([name, value]);
  }
  return lines;
}
