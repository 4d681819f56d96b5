import { asId, asTier, type RequestId } from "@wasabivane/common";
import type { Policy } from "@wasabivane/admission";
import {
  Dialect,
  type HeaderLine,
  headerValue,
  type HeaderValues,
  type PolicyError,
  type RequestMetadata,
  type ResponseMetadata,
  type UpstreamRequestMetadata,
} from "@wasabivane/gateway";
import { ok, type Result } from "neverthrow";

/** Parses `PART,PART`. */
function parseParts(text: string | undefined): RequestMetadata["promptParts"] {
  if (text === undefined) return [];
  return text.split(",").map((part) => ({ part, tokens: 10 }));
}

/** Uses short header names, and JSON as the policy format. */
export class PlainDialect extends Dialect {
  override readonly responseHeaders = new Set([
    "id",
    "leaving",
    "limit",
    "mark",
    "not-run",
    "retry-after",
  ]);

  override parseRequest(headers: HeaderValues): RequestMetadata | undefined {
    const id = headerValue(headers, "id");
    if (id === undefined) return undefined;
    const timeLeft = headerValue(headers, "time-left");
    const resumes = headerValue(headers, "resumes");
    const lastEvent = headerValue(headers, "last-event-id");
    return {
      requestId: asId<RequestId>(id),
      apiKey: headerValue(headers, "key"),
      timeLeft: timeLeft === undefined ? undefined : Number(timeLeft),
      tokens: undefined,
      expectedTokens: undefined,
      promptParts: parseParts(headerValue(headers, "parts")),
      lastEventId: lastEvent === undefined ? undefined : Number(lastEvent),
      resumes: resumes === undefined ? undefined : asId<RequestId>(resumes),
    };
  }

  override buildUpstreamHeaders(
    callerHeaders: readonly HeaderLine[],
    { upstream, timeLeft, lastEventId }: UpstreamRequestMetadata,
  ): HeaderLine[] {
    const lines = callerHeaders.filter(([name]) =>
      !["content-length", "time-left", "key", "last-event-id"].includes(
        name.toLowerCase(),
      )
    );
    lines.push(["upstream", upstream], ["time-left", String(timeLeft)]);
    if (lastEventId !== undefined) {
      lines.push(["last-event-id", String(lastEventId)]);
    }
    return lines;
  }

  override parseResponse(
    _status: number,
    headers: HeaderValues,
  ): ResponseMetadata {
    const limit = headerValue(headers, "limit");
    const backoff = headerValue(headers, "retry-after");
    const tolerated = headerValue(headers, "brittle");
    return {
      ...tolerated !== undefined && { rejectionsPerSecond: Number(tolerated) },
      requestId: headerValue(headers, "id"),
      hasNotRun: headerValue(headers, "not-run") !== undefined,
      isSealed: headerValue(headers, "mark") !== undefined,
      load: undefined,
      startsPerSecond: limit === undefined ? undefined : Number(limit),
      isLoadMalformed: headerValue(headers, "malformed") !== undefined,
      isLeaving: headerValue(headers, "leaving") !== undefined,
      retryAfter: backoff === undefined ? undefined : Number(backoff),
    };
  }

  override decodePolicy(bytes: Uint8Array): Result<Policy, PolicyError> {
    const policy = JSON.parse(new TextDecoder().decode(bytes)) as Policy;
    const routes = policy.routes.map((route) => ({
      ...route,
      tier: asTier(route.tier),
    }));
    return ok({ ...policy, routes });
  }
}
