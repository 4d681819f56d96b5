import { headerValue, type HeaderValues } from "./headers.ts";

/**
 * What ends a response's body: a length or a final chunk, which a truncated body
 * lacks, or only the end of the connection. A response without a body has
 * `"none"`.
 */
export type ResponseFraming = "length" | "chunks" | "connection" | "none";

const STATUS_NO_CONTENT = 204;
const STATUS_NOT_MODIFIED = 304;
const FINAL_CHUNKED = /(?:^|,)\s*chunked\s*$/i;

/** Returns the framing of a response by RFC 9112, section 6.3. */
export function framingOf(
  { method, status, headers }: {
    /** Method of the request. */
    method: string;
    status: number;
    headers: HeaderValues;
  },
): ResponseFraming {
  if (method === "HEAD" || hasNoBody(status)) return "none";
  const encodings = headerValue(headers, "transfer-encoding");
  if (encodings !== undefined) {
    return FINAL_CHUNKED.test(encodings) ? "chunks" : "connection";
  }
  const hasLength = headerValue(headers, "content-length") !== undefined;
  return hasLength ? "length" : "connection";
}

function hasNoBody(status: number): boolean {
  return status === STATUS_NO_CONTENT || status === STATUS_NOT_MODIFIED;
}
