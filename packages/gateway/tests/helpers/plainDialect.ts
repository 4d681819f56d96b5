import { asId, asTier, type RequestId } from "@wasabivane/common";
import type { Policy } from "@wasabivane/admission";
import {
  type AnswerSays,
  type CallerSays,
  Dialect,
  type FieldLine,
  fieldOf,
  type FieldValues,
  type PolicyError,
  type SendingSays,
} from "@wasabivane/gateway";
import { ok, type Result } from "neverthrow";

/** Header names of the tests' own; a policy is its JSON. */
export class PlainDialect extends Dialect {
  override readRequest(fields: FieldValues): CallerSays | undefined {
    const id = fieldOf(fields, "id");
    if (id === undefined) return undefined;
    const timeLeft = fieldOf(fields, "time-left");
    const lastEvent = fieldOf(fields, "last-event-id");
    return {
      attempt: asId<RequestId>(id),
      apiKey: fieldOf(fields, "key"),
      timeLeft: timeLeft === undefined ? undefined : Number(timeLeft),
      tokens: undefined,
      expectedTokens: undefined,
      parts: [],
      lastEvent: lastEvent === undefined ? undefined : Number(lastEvent),
    };
  }

  override sendingFields(
    callerFields: readonly FieldLine[],
    { upstream, timeLeft, lastEvent }: SendingSays,
  ): FieldLine[] {
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

  override readAnswer(_status: number, fields: FieldValues): AnswerSays {
    return {
      attempt: fieldOf(fields, "id"),
      isNotRun: fieldOf(fields, "not-run") !== undefined,
      isSealed: fieldOf(fields, "mark") !== undefined,
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
