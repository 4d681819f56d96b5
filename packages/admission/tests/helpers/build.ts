import {
  asId,
  asTier,
  type FailureDomain,
  type Milliseconds,
  type RequestId,
  type ServiceId,
  type UpstreamId,
} from "@wasabivane/common";
import type {
  Candidate,
  PromptKeys,
  Upstream,
  Verdict,
} from "@wasabivane/admission";

export const PLANS = asId<ServiceId>("plans");
export const WEST = asId<FailureDomain>("west");

/** An upstream `u<index>` of the tests' service. */
export function buildUpstream(
  index: number,
  changes: Partial<Upstream> = {},
): Upstream {
  return {
    upstream: asId<UpstreamId>(`u${index}`),
    name: `u${index}`,
    bornAt: 0,
    service: PLANS,
    address: `127.0.0.1:${9_000 + index}`,
    failureDomain: WEST,
    slots: 2,
    isLeaving: false,
    ...changes,
  };
}

/** A candidate that records its verdict. */
export function buildCandidate(
  name: string,
  {
    tier = 1,
    since = 0,
    onTimeUntil = 500,
    usefulUntil = 2_000,
    excluded = [],
    promptTokens = 0,
    prompt,
    isContinuation = false,
    hold = 300,
    deadline = 60_000,
    answering = 0,
    pauseTarget = 0,
  }: {
    tier?: number;
    since?: number;
    onTimeUntil?: number;
    usefulUntil?: number;
    excluded?: readonly string[];
    promptTokens?: number;
    prompt?: PromptKeys;
    isContinuation?: boolean;
    hold?: Milliseconds;
    deadline?: Milliseconds;
    answering?: Milliseconds;
    pauseTarget?: Milliseconds;
  } = {},
): Candidate & { verdict: Verdict | undefined } {
  const candidate = {
    request: asId<RequestId>(name),
    service: PLANS,
    tier: asTier(tier),
    since,
    promptTokens,
    ...(prompt === undefined ? {} : { prompt }),
    dueAt: onTimeUntil,
    target: onTimeUntil - since,
    deadline,
    answering,
    pauseTarget,
    onTimeUntil,
    usefulUntil,
    isContinuation,
    hold,
    excluded: new Set(excluded.map((id) => asId<UpstreamId>(id))),
    verdict: undefined as Verdict | undefined,
    decide: (verdict: Verdict): void => {
      candidate.verdict = verdict;
    },
  };
  return candidate;
}
