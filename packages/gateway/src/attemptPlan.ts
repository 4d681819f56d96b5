import type { Buffer } from "node:buffer";
import type {
  FailureDomain,
  Milliseconds,
  UpstreamId,
} from "@wasabivane/common";
import {
  firstByteTimeout,
  type PlacementRequest,
  type SoftwareVersion,
  type Upstream,
} from "@wasabivane/admission";
import type { AttemptListener, AttemptOptions } from "./attempt.ts";
import { type HeaderLine, selectEndToEndHeaders } from "./headers.ts";
import type { GatewayContext } from "./gatewayContext.ts";
import type { AdmittedRequest } from "./requestAdmission.ts";
import { computeSilenceTimeouts } from "./computeSilenceTimeouts.ts";
import { recordUpstreamReport } from "./recordUpstreamReport.ts";
import { isQuarantined } from "./quarantine.ts";
import type { RequestTraits } from "./requestTraits.ts";

/** A caller's request with its body read completely. */
export interface BufferedRequest {
  readonly method: string;
  readonly path: string;
  readonly headerLines: readonly HeaderLine[];
  readonly body: Buffer;
  readonly traits: RequestTraits;
}

/** Inputs of {@link planAttempt}. */
export interface AttemptInputs {
  readonly context: GatewayContext;
  readonly admitted: AdmittedRequest;
  readonly request: BufferedRequest;
  readonly upstream: Upstream;
  /** Prompt tokens of other requests that the upstream processes first. */
  readonly pendingPrefillTokens: number;
  readonly now: Milliseconds;
  /** Id of the last event sent to the caller; `undefined` before any. */
  readonly lastEventId: number | undefined;
  /** Whether the request may be retried at another upstream. */
  readonly canRetry: boolean;
  /** Returns whether another upstream and retry budget are available now. */
  readonly hasAlternative: () => boolean;
  /** Returns whether it can still be served before the process ends. */
  readonly hasTime: () => boolean;
  readonly listener: AttemptListener;
}

/** A process that ends may close its connections some time before its listener. */
const PROCESS_END_MS: Milliseconds = 20;
/** Prompt parts used for placement; shared ones come first. */
const MAXIMUM_PROMPT_PARTS = 8;

/** Describes a request for placement at an upstream. */
export function createPlacementRequest(
  admitted: AdmittedRequest,
  { failureDomain, excluded, softwareVersion, isContinuation }: {
    failureDomain: FailureDomain;
    excluded: ReadonlySet<UpstreamId>;
    /** Version that began its stream; `undefined` before. */
    softwareVersion: SoftwareVersion | undefined;
    /** Whether an upstream may have started the request. */
    isContinuation: boolean;
  },
): PlacementRequest {
  const { route, service, metadata, account, arrivedAt, deadline } = admitted;
  return {
    request: metadata.requestId,
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
    parts: metadata.promptParts.slice(0, MAXIMUM_PROMPT_PARTS),
    excluded: new Set(excluded),
    softwareVersion,
    isContinuation,
    ...account !== undefined && { account: account.account },
  };
}

/**
 * Builds the options for sending a request to the upstream it was assigned to.
 */
export function planAttempt(inputs: AttemptInputs): AttemptOptions {
  const { context, admitted, request, upstream, listener } = inputs;
  const { route, service, metadata } = admitted;
  const { upstreamStats, connections, dialect, timer, metrics } = context;
  const promptTokens = promptTokensOf(admitted) + inputs.pendingPrefillTokens;
  return {
    upstream,
    call: {
      address: upstream.address,
      method: request.method,
      path: request.path,
      headers: createUpstreamHeaders(inputs),
      body: request.body.length > 0 ? request.body : undefined,
    },
    connections,
    dialect,
    timer,
    memory: context.memory.responses,
    onLimit: (limit) => metrics.count(`responses_over_${limit}`),
    deadline: admitted.deadline,
    isUsable: () =>
      inputs.hasTime() &&
      context.placementClient.isUsable(upstream.upstream, timer.now()) &&
      !isQuarantined(request.traits, context),
    hasEnded: () => hasEnded(upstream, context),
    requestId: metadata.requestId,
    isStreaming: route.isStreaming,
    pauseTarget: route.pauseTarget,
    promptTokens,
    silenceTimeouts: computeSilenceTimeouts({ ...inputs, promptTokens }),
    onReport: (metadata, headers) => {
      recordUpstreamReport(upstream, metadata, context);
      context.unknownHeaders.check(upstream.upstream, headers);
    },
    onEventInterval: (duration) =>
      upstreamStats.recordEventInterval({
        service,
        upstream: upstream.upstream,
        duration,
      }, timer.now()),
    listener,
  };
}

/**
 * Whether an upstream's process has just ended, also one that leaves as planned,
 * which may cut its last responses.
 */
async function hasEnded(
  upstream: Upstream,
  { isRefusing, timer }: GatewayContext,
): Promise<boolean> {
  await new Promise<void>((resolve) => {
    timer.after(PROCESS_END_MS, resolve);
  });
  return isRefusing(upstream);
}

/** Returns the prompt tokens that the caller declared, or 0. */
export function promptTokensOf({ metadata }: AdmittedRequest): number {
  return metadata.tokens?.prompt ?? 0;
}

/** Returns the response tokens that the caller expects, or 0. */
export function expectedTokensOf({ metadata }: AdmittedRequest): number {
  return metadata.expectedTokens ?? 0;
}

function createUpstreamHeaders(
  { context, admitted, request, upstream, now, lastEventId }: AttemptInputs,
): HeaderLine[] {
  const { account, deadline, metadata } = admitted;
  return context.dialect.buildUpstreamHeaders(
    selectEndToEndHeaders(request.headerLines),
    {
      requestId: metadata.requestId,
      upstream: upstream.name,
      account: account?.account,
      timeLeft: Math.max(1, Math.floor(deadline - now)),
      lastEventId,
    },
  );
}
