import process from "node:process";
import { setTimeout as sleep } from "node:timers/promises";
import type { EpochMilliseconds, Milliseconds } from "@wasabivane/common";
import type { ExecutionContext } from "ava";
import {
  buildEntry,
  type GatewayStartOptions,
  type ReceivedResponse,
  type RunningGateway,
  sendRequest,
  startGateway,
  startHostsApart,
  waitUntil,
} from "./fleet.ts";
import {
  BAD_PART,
  RestartingUpstream,
  type RestartingUpstreamOptions,
} from "./restartingUpstream.ts";

/** Crashes after which no request with the part may reach an upstream. */
const TOLERATED_CRASHES = 5;
/** Time for hosts to learn of them. */
const LEARNING_MS: Milliseconds = 3_000;
const SENDS_OF_A_BAD_REQUEST = 3;
const REPEAT_DELAY_MS: Milliseconds = 150;
const CALM_MS: Milliseconds = 2_000;

/** Options of {@link runPartTraffic}. */
export interface PartTrafficOptions extends Partial<RestartingUpstreamOptions> {
  readonly hosts?: number;
  readonly upstreams?: number;
  readonly hasPeers?: boolean;
  readonly repeatability?: "resumable" | "at-most-once";
  readonly soundPerSecond?: number;
  readonly badPerSecond?: number;
  /** How long requests with the bad part come. */
  readonly badFor?: Milliseconds;
  /** Shared parts of the request with this index. */
  readonly soundParts?: (index: number) => readonly string[];
  readonly badParts?: (index: number) => readonly string[];
  /** When callers of bad requests leave. */
  readonly leavesAfter?: Milliseconds;
  /** Upstreams that crash at once without a cause, and how often. */
  readonly outage?: { readonly share: number; readonly interval: Milliseconds };
}

/** What callers and upstreams have seen. */
export interface PartTrafficReport {
  /** Crashes under the bad part. */
  readonly crashes: number;
  /** Its arrivals later than the learning time after the fifth crash. */
  readonly lateArrivals: number;
  /** Share of sound requests served at the first attempt before it comes. */
  readonly servedBefore: number;
  /**
   * The same from twice the learning time after the fifth crash, or the last one,
   * until it comes no more.
   */
  readonly servedAfter: number;
  /** Sound requests refused as if they crashed upstreams. */
  readonly soundConvicted: number;
}

interface SoundOutcome {
  readonly sentAt: EpochMilliseconds;
  readonly isServed: boolean;
  readonly isConvicted: boolean;
}

/** Shared parts of sound requests: one of all, then one of six and of three. */
function defaultSoundParts(index: number): string[] {
  return ["all", `document-${index % 6}`, `form-${index % 3}`];
}

/** Like those of a sound request, with the bad part in the middle. */
function defaultBadParts(index: number): string[] {
  return ["all", `document-${index % 6}`, BAD_PART, `form-${index % 3}`];
}

/** Sends sound requests, and beside them requests with a part that is bad. */
export async function runPartTraffic(
  t: ExecutionContext,
  {
    hosts: hostCount = 4,
    upstreams: upstreamCount = 12,
    hasPeers = true,
    repeatability = "resumable",
    soundPerSecond = 40,
    badPerSecond = 8,
    badFor = 10_000,
    soundParts = defaultSoundParts,
    badParts = defaultBadParts,
    leavesAfter,
    outage,
    ...changes
  }: PartTrafficOptions = {},
): Promise<PartTrafficReport> {
  const hosts: RunningGateway[] = [];
  const upstreams = await startUpstreams(upstreamCount, {
    runTime: 100,
    crashTime: 60,
    restartDelay: 2_500,
    isUnframed: false,
    crashesUnanswered: false,
    crashesAfterEnd: undefined,
    isBad: (parts) => parts.includes(BAD_PART),
    onRestart: (name, address) => {
      const entry = buildEntry(name, { address, slots: 8 });
      for (const { gateway } of hosts) gateway.upstreamUpdates.apply(entry);
    },
    ...changes,
  });
  t.teardown(() => upstreams.forEach((upstream) => upstream.close()));
  const settings: GatewayStartOptions = {
    upstreams: upstreams.map(({ raw }) => raw),
    slots: 8,
    route: { isStreaming: true, repeatability, pauseTarget: 300 },
  };
  hosts.push(
    ...hasPeers
      ? await startJoined(t, hostCount, settings)
      : await startHostsApart(t, settings.upstreams, settings),
  );
  let isOver = false;
  const sound: Promise<SoundOutcome>[] = [];
  const soundEnd = sendAtRate({
    perSecond: soundPerSecond,
    isOver: () => isOver,
    send: (index) =>
      sound.push(sendSound(hosts[index % hosts.length]!, {
        id: `sound-${index}`,
        parts: [...soundParts(index), `own-${index}`],
      })),
  });
  await sleep(CALM_MS);
  const startedAt = Date.now();
  if (outage !== undefined) void crashInWaves(upstreams, outage, () => isOver);
  await sendAtRate({
    perSecond: badPerSecond,
    isOver: () => Date.now() > startedAt + badFor,
    send: (index) =>
      void sendBad(hosts, {
        index,
        parts: [...badParts(index), `bad-own-${index}`],
        leavesAfter,
      }),
  });
  isOver = true;
  await soundEnd;
  const outcomes = await Promise.all(sound);
  return createReport(upstreams, { outcomes, startedAt });
}

async function startUpstreams(
  count: number,
  options: RestartingUpstreamOptions,
): Promise<RestartingUpstream[]> {
  const upstreams = Array.from(
    { length: count },
    (_, index) => new RestartingUpstream(index, options),
  );
  await Promise.all(upstreams.map((upstream) => upstream.start()));
  return upstreams;
}

let fleetCount = 0;

/** Starts hosts that know each other. */
async function startJoined(
  t: ExecutionContext,
  count: number,
  settings: GatewayStartOptions,
): Promise<RunningGateway[]> {
  const hosts: RunningGateway[] = [];
  const fleet = fleetCount++;
  for (let index = 0; index < count; index++) {
    const host = await startGateway({
      ...settings,
      host: `parts-${process.pid}-${fleet}-${index}`,
      seeds: hosts.map(({ peerAddress }) => peerAddress),
    });
    t.teardown(() => host.close());
    hosts.push(host);
  }
  await waitUntil(() =>
    hosts.every(({ gateway }) => gateway.context.hostCount() === count)
  );
  return hosts;
}

async function sendAtRate(
  { perSecond, isOver, send }: {
    perSecond: number;
    isOver: () => boolean;
    send: (index: number) => void;
  },
): Promise<void> {
  const startedAt = Date.now();
  let sent = 0;
  while (!isOver()) {
    const due = (Date.now() - startedAt) * perSecond / 1_000;
    while (sent < due) send(sent++);
    await sleep(5);
  }
}

async function sendSound(
  { url }: RunningGateway,
  { id, parts }: { id: string; parts: readonly string[] },
): Promise<SoundOutcome> {
  const sentAt = Date.now();
  const response = await sendRequest(url, {
    body: id,
    headers: { id, parts: parts.join(",") },
  });
  return {
    sentAt,
    isServed: response.status === 200 && response.isComplete,
    isConvicted: isConvicted(response),
  };
}

/** Whether a caller is told to stay away for as long as a crash is remembered. */
function isConvicted({ status, headers }: ReceivedResponse): boolean {
  return status === 503 && Number(headers["retry-after"] ?? 0) > 10;
}

async function sendBad(
  hosts: readonly RunningGateway[],
  { index, parts, leavesAfter }: {
    index: number;
    parts: readonly string[];
    leavesAfter: Milliseconds | undefined;
  },
): Promise<void> {
  for (let send = 0; send < SENDS_OF_A_BAD_REQUEST; send++) {
    const { url } = hosts[(index + send) % hosts.length]!;
    const { status, isComplete } = await sendRequest(url, {
      body: `bad ${index}`,
      headers: { id: `bad-${index}-${send}`, parts: parts.join(",") },
      ...leavesAfter !== undefined && { leavesAfter },
    });
    if (status === 200 && isComplete) return;
    await sleep(REPEAT_DELAY_MS);
  }
}

/** Crashes a share of the upstreams at a time, others each time. */
async function crashInWaves(
  upstreams: readonly RestartingUpstream[],
  { share, interval }: { share: number; interval: Milliseconds },
  isOver: () => boolean,
): Promise<void> {
  const count = Math.max(1, Math.round(share * upstreams.length));
  for (let first = 0; !isOver(); first += count) {
    for (let index = first; index < first + count; index++) {
      upstreams[index % upstreams.length]!.crash();
    }
    await sleep(interval);
  }
}

function createReport(
  upstreams: readonly RestartingUpstream[],
  { outcomes, startedAt }: {
    outcomes: readonly SoundOutcome[];
    startedAt: EpochMilliseconds;
  },
): PartTrafficReport {
  const crashes = upstreams.flatMap(({ crashedAt }) => crashedAt)
    .toSorted((left, right) => left - right);
  const arrivals = upstreams.flatMap(({ badArrivals }) => badArrivals);
  const last = crashes[TOLERATED_CRASHES - 1] ?? crashes.at(-1) ?? startedAt;
  const fifth = crashes[TOLERATED_CRASHES - 1] ?? Infinity;
  const before = outcomes.filter(({ sentAt }) => sentAt < startedAt);
  const after = outcomes.filter(({ sentAt }) =>
    sentAt > last + 2 * LEARNING_MS
  );
  return {
    crashes: crashes.length,
    lateArrivals: arrivals.filter((at) => at > fifth + LEARNING_MS).length,
    servedBefore: servedShare(before),
    servedAfter: servedShare(after),
    soundConvicted: outcomes.filter(({ isConvicted }) => isConvicted).length,
  };
}

function servedShare(outcomes: readonly SoundOutcome[]): number {
  const served = outcomes.filter(({ isServed }) => isServed).length;
  return served / Math.max(1, outcomes.length);
}
