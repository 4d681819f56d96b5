import type { Buffer } from "node:buffer";
import type {
  Digest,
  FailureDomain,
  Milliseconds,
  UpstreamId,
} from "@wasabivane/common";
import {
  firstByteTimeout,
  type PlacementRequest,
  type Upstream,
} from "@wasabivane/admission";
import type { AttemptListener, AttemptOptions } from "./attempt.ts";
import { endToEndFields, type HeaderLine } from "./headers.ts";
import type { GatewayContext } from "./gatewayContext.ts";
import type { Admitted } from "./intake.ts";
import { silencePatience } from "./silencePatience.ts";

/** The request as it was read. */
export interface ReadRequest {
  readonly method: string;
  readonly path: string;
  readonly lines: readonly HeaderLine[];
  readonly body: Buffer;
  readonly fingerprint: Digest;
}

/** What an attempt is planned from. */
export interface PlannedSend {
  readonly parts: GatewayContext;
  readonly admitted: Admitted;
  readonly request: ReadRequest;
  readonly upstream: Upstream;
  /** Prompt tokens of others that the upstream reads first. */
  readonly unreadTokens: number;
  readonly now: Milliseconds;
  /** Id of the last event that the caller got; `undefined` before any. */
  readonly lastEvent: number | undefined;
  /** Whether the request may be sent to another upstream after this one. */
  readonly canRepeat: boolean;
  /** Whether there is another upstream now, and budget left to send to it. */
  readonly hasOther: () => boolean;
  readonly listener: AttemptListener;
}

/** Parts of a prompt that whoever places it hears of; those that are shared come first. */
const MAXIMUM_PARTS = 8;

/** What a request says to whoever places it. */
export function wishOf(
  admitted: Admitted,
  { failureDomain, excluded, isContinuation }: {
    failureDomain: FailureDomain;
    excluded: ReadonlySet<UpstreamId>;
    /** An upstream may have begun with it. */
    isContinuation: boolean;
  },
): PlacementRequest {
  const { route, service, says, account, arrivedAt, deadline } = admitted;
  return {
    request: says.requestId,
    service,
    failureDomain,
    route: route.route,
    tier: account?.tier ?? route.tier,
    arrivedAt,
    target: route.target,
    deadline,
    firstByteTimeout: firstByteTimeout(route, deadline - arrivedAt),
    promptTokens: promptTokensOf(admitted),
    expectedTokens: expectedTokensOf(admitted),
    pauseTarget: route.pauseTarget,
    parts: says.promptParts.slice(0, MAXIMUM_PARTS),
    excluded: new Set(excluded),
    isContinuation,
  };
}

/** One send of a request to the upstream that it was placed at. */
export function planAttempt(send: PlannedSend): AttemptOptions {
  const { parts, admitted, request, upstream, listener } = send;
  const { route, service, says } = admitted;
  const { knowledge, connections, dialect, timer } = parts;
  const promptTokens = promptTokensOf(admitted) + send.unreadTokens;
  return {
    upstream,
    call: {
      address: upstream.address,
      method: request.method,
      path: request.path,
      fields: fieldsOf(send),
      body: request.body.length > 0 ? request.body : undefined,
    },
    connections,
    dialect,
    timer,
    deadline: admitted.deadline,
    attempt: says.requestId,
    isStreaming: route.isStreaming,
    pauseTarget: route.pauseTarget,
    promptTokens,
    patience: silencePatience({ ...send, promptTokens }),
    onLoad: (requests) =>
      parts.places.recordUpstreamLoad(upstream, requests, timer.now()),
    onPace: (duration) =>
      knowledge.speed.observe({
        service,
        upstream: upstream.upstream,
        duration,
      }),
    listener,
  };
}

/** Tokens that an engine reads before the first event; 0 where nothing is told. */
export function promptTokensOf({ says }: Admitted): number {
  return says.tokens?.prompt ?? 0;
}

/** Tokens that its caller expects in the answer; 0 where it does not say. */
export function expectedTokensOf({ says }: Admitted): number {
  return says.expectedTokens ?? 0;
}

function fieldsOf(
  { parts, admitted, request, upstream, now, lastEvent }: PlannedSend,
): HeaderLine[] {
  const { account, deadline } = admitted;
  return parts.dialect.buildUpstreamHeaders(endToEndFields(request.lines), {
    upstream: upstream.name,
    account: account?.account,
    timeLeft: Math.max(1, Math.floor(deadline - now)),
    lastEventId: lastEvent,
  });
}
