import type {
  ElapsedClock,
  HostId,
  Milliseconds,
  Timer,
} from "@wasabivane/common";
import {
  ServiceMixing,
  type UpstreamDirectory,
  VersionHistory,
} from "@wasabivane/admission";
import type { ListConfirmation } from "./listConfirmation.ts";
import type { PeerMessage } from "./peerMessage.ts";
import type { PolicyState } from "./policyState.ts";
import { StreamOrigins } from "./streamOrigins.ts";

/** Watches of the store confirm the list of upstreams more often. */
const MAXIMUM_LIST_AGE_MS: Milliseconds = 4_000;
/**
 * Longest time from the first event of a stream until a caller takes it up, as a
 * multiple of the longest time for a response, over which it may retry.
 */
const STREAM_AGE_FACTOR = 2;
/**
 * The same at least: callers may take a stream up several times, and policies
 * before this one may have allowed a longer time.
 */
const MINIMUM_STREAM_AGE_MS: Milliseconds = 60_000;

/** Creates the {@link StreamOrigins} of a host. */
export function createStreamOrigins(
  {
    directory,
    policies,
    elapsed,
    timer,
    isFirstStart,
    confirmation,
    ...options
  }: {
    readonly host: HostId;
    readonly directory: UpstreamDirectory;
    readonly policies: PolicyState;
    readonly elapsed: ElapsedClock;
    readonly timer: Timer;
    /** Whether no host has served a request before. */
    readonly isFirstStart: boolean;
    /** Returns the live hosts, with or without this one. */
    readonly hosts: () => readonly HostId[];
    readonly send: (to: HostId, message: PeerMessage) => void;
    readonly confirmation: () => ListConfirmation;
  },
): StreamOrigins {
  const maximumStreamAge = (): Milliseconds =>
    Math.max(
      MINIMUM_STREAM_AGE_MS,
      STREAM_AGE_FACTOR * policies.longestTimeout,
    );
  const mixing = new ServiceMixing();
  policies.addListener((index) => mixing.apply(index, timer.now()));
  const versions = new VersionHistory({
    directory,
    isMixed: (service, since) => mixing.isMixed(service, since),
    maximumStreamAge,
    completeSince: isFirstStart ? -Infinity : timer.now(),
    isCurrent: () => {
      const { freshness } = policies;
      const now = elapsed.now();
      return freshness.isKeyTrusted(now) &&
        freshness.age(now) <= MAXIMUM_LIST_AGE_MS;
    },
  });
  return new StreamOrigins({
    ...options,
    timer,
    versions,
    maximumStreamAge,
    confirmList: () => confirmation().confirm(),
    isConfirmable: () => confirmation().isPossible,
  });
}
