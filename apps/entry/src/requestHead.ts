import type { IncomingMessage } from "node:http";
import { err, ok, type Result } from "neverthrow";
import { type Problem, problemOf } from "./problem.ts";

/** Headers of which Node.js keeps the first alone, unseen; two of them contradict each other. */
const SINGLE_HEADERS = new Set(["authorization", "host", "content-type"]);
const AUTHORITY = /^https?:\/\/[^/?#]*/i;
const CONTROL = /\p{Cc}/u;
const HALF_ESCAPE = /%(?![0-9a-f]{2})/i;
const ESCAPE = /%([0-9a-f]{2})/gi;
/** Decoding stops changing a path after so many rounds, or the path is refused. */
const MAX_DECODINGS = 4;

/** Checks what stands before the body; gives the path and query in origin form. */
export function checkRequestHead(
  { url = "/", headers, rawHeaders, httpVersion }: IncomingMessage,
): Result<string, Problem> {
  if (headers.host === undefined && httpVersion === "1.1") {
    return err(malformed("The header host is missing"));
  }
  const repeated = repeatedHeader(rawHeaders);
  if (repeated !== undefined) {
    return err(malformed(`The header ${repeated} must stand once`));
  }
  if (url.includes("#")) return err(malformed("The target has a fragment"));
  const target = originForm(url);
  if (isPathSafe(target.split("?", 1)[0]!)) return ok(target);
  return err(malformed("The path is not in its plain form"));
}

/** RFC 9112, 3.2.2: servers take the absolute form too. */
function originForm(url: string): string {
  if (url.startsWith("/")) return url;
  const path = url.replace(AUTHORITY, "");
  return path === "" || path.startsWith("?") ? `/${path}` : path;
}

/**
 * Whether a path stays where its prefix says. An upstream resolves dot segments
 * and may decode a path once more than this host; either way a caller could
 * reach what lies beside the service's prefix. So nothing that is, or decodes
 * to, a dot segment gets through.
 */
export function isPathSafe(path: string): boolean {
  if (HALF_ESCAPE.test(path)) return false;
  let current = path;
  for (let round = 0; round < MAX_DECODINGS; round++) {
    if (!isPlain(current)) return false;
    const decoded = current.replace(
      ESCAPE,
      (_escape, hex: string) => String.fromCharCode(parseInt(hex, 16)),
    );
    if (decoded === current) return true;
    current = decoded;
  }
  return false;
}

function isPlain(path: string): boolean {
  if (CONTROL.test(path)) return false;
  return path.split(/[/\\]/).every((segment) => {
    const [name] = segment.split(";", 1);
    return name !== "." && name !== "..";
  });
}

function repeatedHeader(rawHeaders: readonly string[]): string | undefined {
  const seen = new Set<string>();
  for (let index = 0; index < rawHeaders.length; index += 2) {
    const name = rawHeaders[index]!.toLowerCase();
    if (!SINGLE_HEADERS.has(name)) continue;
    if (seen.has(name)) return name;
    seen.add(name);
  }
  return undefined;
}

function malformed(detail: string): Problem {
  return problemOf("malformed-request", { detail });
}
