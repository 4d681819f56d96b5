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

/** Header names of the tests' own; a policy is its JSON. */
export class PlainDialect extends Dialect {
  override parseRequest(fields: HeaderValues): RequestMetadata | undefined {
    const id = headerValue(fields, "id");
    if (id === undefined) return undefined;
    const timeLeft = headerValue(fields, "time-left");
    const lastEvent = headerValue(fields, "last-event-id");
    return {
      requestId: asId<RequestId>(id),
      apiKey: headerValue(fields, "key"),
      timeLeft: timeLeft === undefined ? undefined : Number(timeLeft),
      tokens: undefined,
      expectedTokens: undefined,
      promptParts: [],
      lastEventId: lastEvent === undefined ? undefined : Number(lastEvent),
    };
  }

  override buildUpstreamHeaders(
    callerFields: readonly HeaderLine[],
    { upstream, timeLeft, lastEventId: lastEvent }: UpstreamRequestMetadata,
  ): HeaderLine[] {
    const lines = callerFields.filter(([name]) =>
      !["content-length", "time-left", "key", "last-event-id"].includes(
        name.toLowerCase(),
      )
    );
    lines.push(["upstream", upstream], ["time-left", String(timeLeft)]);
    if (lastEvent !== undefined) {
      lines.push(["last-event-id", String(lastEvent)]);
    }
    return lines;
  }

  override parseResponse(
    _status: number,
    fields: HeaderValues,
  ): ResponseMetadata {
    return {
      requestId: headerValue(fields, "id"),
      hasNotRun: headerValue(fields, "not-run") !== undefined,
      isSealed: headerValue(fields, "mark") !== undefined,
      load: undefined,
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
