import type { RequestId } from "@wasabivane/common";
import type { Policy, PromptPart } from "@wasabivane/admission";
import type { Result } from "neverthrow";
import type { HeaderLine, HeaderValues } from "./headers.ts";

/** What a caller says of its request in header fields. */
export interface RequestMetadata {
  readonly requestId: RequestId;
  readonly apiKey: string | undefined;
  /** Time that the caller will wait, in milliseconds. */
  readonly timeLeft: number | undefined;
  /** Tokens of the prompt and most tokens of the answer. */
  readonly tokens:
    | { readonly prompt: number; readonly output: number }
    | undefined;
  /** Tokens that the caller expects in the answer; right in the median, often far off. */
  readonly expectedTokens: number | undefined;
  readonly promptParts: readonly PromptPart[];
  /** The caller has the events up to this one already. */
  readonly lastEventId: number | undefined;
}

/** What a host tells the upstream along with the request. */
export interface UpstreamRequestMetadata {
  /** Name of the upstream that is meant; another one at its address must not run the request. */
  readonly upstream: string;
  readonly account: string | undefined;
  readonly timeLeft: number;
  /** Continue a stream after this event. */
  readonly lastEventId: number | undefined;
}

/** What the head of an answer says. */
export interface ResponseMetadata {
  /** The request that the answer belongs to. */
  readonly requestId: string | undefined;
  /** The upstream states that it did not run the request. */
  readonly hasNotRun: boolean;
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
  abstract parseRequest(fields: HeaderValues): RequestMetadata | undefined;
  /** The caller's fields without those that the system sets, and these as set. */
  abstract buildUpstreamHeaders(
    callerFields: readonly HeaderLine[],
    says: UpstreamRequestMetadata,
  ): HeaderLine[];
  abstract parseResponse(
    status: number,
    fields: HeaderValues,
  ): ResponseMetadata;
  abstract decodePolicy(bytes: Uint8Array): Result<Policy, PolicyError>;
}
