import type { Milliseconds, RequestId } from "@wasabivane/common";
import type { Policy, PromptPart } from "@wasabivane/admission";
import type { Result } from "neverthrow";
import type { HeaderLine, HeaderValues } from "./headers.ts";

/** Metadata of a caller's request, from its headers. */
export interface RequestMetadata {
  readonly requestId: RequestId;
  readonly apiKey: string | undefined;
  /** Time until the caller's deadline, in milliseconds. */
  readonly timeLeft: number | undefined;
  /** Tokens of the prompt, and the limit for the response. */
  readonly tokens:
    | { readonly prompt: number; readonly output: number }
    | undefined;
  /** Response tokens that the caller estimates; often inaccurate. */
  readonly expectedTokens: number | undefined;
  readonly promptParts: readonly PromptPart[];
  /** Id of the last event that the caller has received, to resume a stream. */
  readonly lastEventId: number | undefined;
  /** Id of the request that brought the first event of a stream to resume. */
  readonly resumes: RequestId | undefined;
}

/** Metadata that a host adds to the request it sends to an upstream. */
export interface UpstreamRequestMetadata {
  readonly requestId: RequestId;
  /**
   * Name of the intended upstream; another one at its address must not run the
   * request.
   */
  readonly upstream: string;
  readonly account: string | undefined;
  readonly timeLeft: number;
  /** Id of the event after which the stream continues. */
  readonly lastEventId: number | undefined;
}

/** Metadata of an upstream's response, from its headers. */
export interface ResponseMetadata {
  /** Id of the request that the response belongs to. */
  readonly requestId: string | undefined;
  /** Whether the upstream states that it did not run the request. */
  readonly hasNotRun: boolean;
  /** Whether the response carries the upstream's seal. */
  readonly isSealed: boolean;
  /**
   * Requests that are running or queued at the upstream; `undefined` if not
   * reported.
   */
  readonly load: number | undefined;
  /**
   * How long work takes at the upstream at the moment, as a multiple of the
   * usual time; absent if it does not say.
   */
  readonly slowdown?: number;
  /** Whether some part of the upstream's report of its load is unreadable. */
  readonly isLoadMalformed?: boolean;
  /**
   * Requests per second that the upstream takes from all hosts together;
   * `undefined` if it names no limit.
   */
  readonly startsPerSecond: number | undefined;
  /**
   * Requests that the upstream can turn away in a second without failing;
   * absent if it names no number.
   */
  readonly rejectionsPerSecond?: number;
  /** Whether the upstream states that it is leaving. */
  readonly isLeaving: boolean;
  /**
   * Time for which this host must back off from the upstream, which turned the
   * request away; `undefined` if it names none.
   */
  readonly retryAfter: Milliseconds | undefined;
}

/** The error for policy bytes that cannot be decoded. */
export interface PolicyError {
  readonly kind: "malformed-policy";
  readonly detail: string;
}

/**
 * Translates between the headers and policy format of a platform and the
 * gateway's types.
 */
export abstract class Dialect {
  /**
   * Lower-case names of the response headers that upstreams are known to send,
   * whether or not they are read.
   */
  abstract readonly responseHeaders: ReadonlySet<string>;
  abstract parseRequest(headers: HeaderValues): RequestMetadata | undefined;
  /** Returns the caller's headers with reserved ones removed or replaced. */
  abstract buildUpstreamHeaders(
    callerHeaders: readonly HeaderLine[],
    metadata: UpstreamRequestMetadata,
  ): HeaderLine[];
  abstract parseResponse(
    status: number,
    headers: HeaderValues,
  ): ResponseMetadata;
  abstract decodePolicy(bytes: Uint8Array): Result<Policy, PolicyError>;
}
