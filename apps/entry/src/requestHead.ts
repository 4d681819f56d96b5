import type { IncomingMessage } from "node:http";
import { err, ok, type Result } from "neverthrow";
import { type Problem, problemOf } from "./problem.ts";

/** Headers of which Node.js silently keeps the first occurrence only. */
const SINGLE_HEADERS = new Set(["authorization", "host", "content-type"]);
const SCHEME_AND_AUTHORITY = /^https?:\/\/[^/?#]*/i;
const CONTROL_CHARACTER = /\p{Cc}/u;
const INCOMPLETE_ESCAPE = /%(?![0-9a-f]{2})/i;
const ESCAPE = /%([0-9a-f]{2})/gi;
/** A path that needs more rounds of percent-decoding is refused. */
const MAX_DECODING_ROUNDS = 4;

/**
 * Validates the request line and headers; returns the target in origin form.
 */
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
  const target = toOriginForm(url);
  if (isPathSafe(target.split("?", 1)[0]!)) return ok(target);
  return err(malformed("The path is not in its plain form"));
}

/** Converts the absolute form of a target, which RFC 9112, 3.2.2 allows. */
function toOriginForm(url: string): string {
  if (url.startsWith("/")) return url;
  const path = url.replace(SCHEME_AND_AUTHORITY, "");
  return path === "" || path.startsWith("?") ? `/${path}` : path;
}

/**
 * Whether a path contains no dot segments, even after repeated
 * percent-decoding. An upstream that resolves them could otherwise serve paths
 * outside the service's prefix.
 */
export function isPathSafe(path: string): boolean {
  if (INCOMPLETE_ESCAPE.test(path)) return false;
  let current = path;
  for (let round = 0; round < MAX_DECODING_ROUNDS; round++) {
    if (!isSafeUndecoded(current)) return false;
    const decoded = current.replace(
      ESCAPE,
      (_escape, hex: string) => String.fromCharCode(parseInt(hex, 16)),
    );
    if (decoded === current) return true;
    current = decoded;
  }
  return false;
}

function isSafeUndecoded(path: string): boolean {
  if (CONTROL_CHARACTER.test(path)) return false;
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
