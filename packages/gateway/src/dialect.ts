import type { RequestId } from "@wasabivane/common";
import type { Policy, PromptPart } from "@wasabivane/admission";
import type { Result } from "neverthrow";
import type { FieldLine, FieldValues } from "./fields.ts";

/** What a caller says of its request in header fields. */
export interface CallerSays {
  readonly attempt: RequestId;
  readonly apiKey: string | undefined;
  /** Time that the caller will wait, in milliseconds. */
  readonly timeLeft: number | undefined;
  /** Tokens of the prompt and most tokens of the answer. */
  readonly tokens:
    | { readonly prompt: number; readonly output: number }
    | undefined;
  /** Tokens that the caller expects in the answer; right in the median, often far off. */
  readonly expectedTokens: number | undefined;
  readonly parts: readonly PromptPart[];
  /** The caller has the events up to this one already. */
  readonly lastEvent: number | undefined;
}

/** What a host tells the upstream along with the request. */
export interface SendingSays {
  /** Name of the upstream that is meant; another one at its address must not run the request. */
  readonly upstream: string;
  readonly account: string | undefined;
  readonly timeLeft: number;
  /** Continue a stream after this event. */
  readonly lastEvent: number | undefined;
}

/** What the head of an answer says. */
export interface AnswerSays {
  /** The request that the answer belongs to. */
  readonly attempt: string | undefined;
  /** The upstream states that it did not run the request. */
  readonly isNotRun: boolean;
  /** The answer bears the upstream's own mark. */
  readonly isSealed: boolean;
  /** Requests that the upstream has, running and waiting; `undefined` where it does not say. */
  readonly load: number | undefined;
}

/** The bytes of a policy are not a policy. */
export interface PolicyError {
  readonly kind: "malformed-policy";
  readonly detail: string;
}

/**
 * How requests, answers and policies are spelled. The gateway knows only what
 * they mean; an adapter knows the names.
 */
export abstract class Dialect {
  abstract readRequest(fields: FieldValues): CallerSays | undefined;
  /** The caller's fields without those that the system sets, and these as set. */
  abstract sendingFields(
    callerFields: readonly FieldLine[],
    says: SendingSays,
  ): FieldLine[];
  abstract readAnswer(status: number, fields: FieldValues): AnswerSays;
  abstract decodePolicy(bytes: Uint8Array): Result<Policy, PolicyError>;
}
