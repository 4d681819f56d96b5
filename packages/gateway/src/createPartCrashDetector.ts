import type { HostId, Milliseconds, Timer } from "@wasabivane/common";
import {
  hashWeight,
  type PartConviction,
  PartCrashDetector,
} from "@wasabivane/admission";

/** Time until all hosts have told what they saw of a crash. */
const REPORT_MS: Milliseconds = 60;
/** Time after the start in which a host knows little of what has completed. */
const SETTLING_MS: Milliseconds = 3_000;
/** Time from one host's chance to try convicted parts again to the next one's. */
const TRIAL_INTERVAL_MS: Milliseconds = 2_000;

/** Creates the {@link PartCrashDetector} of a host. */
export function createPartCrashDetector(
  { host, timer, startedAt, hosts, isAlone, onConviction }: {
    readonly host: HostId;
    readonly timer: Timer;
    readonly startedAt: Milliseconds;
    /** Returns the live hosts, with or without this one. */
    readonly hosts: () => readonly HostId[];
    /** Whether this host hears none of the hosts in its settings. */
    readonly isAlone: () => boolean;
    readonly onConviction: (conviction: PartConviction) => void;
  },
): PartCrashDetector {
  const detector = new PartCrashDetector({
    isAlone,
    onConviction,
    trialDelay: (key) =>
      TRIAL_INTERVAL_MS * rankOf(host, { key, hosts: hosts() }),
    onEvidence: () => {
      const settling = startedAt + SETTLING_MS - timer.now();
      timer.after(
        Math.max(REPORT_MS, settling),
        () => detector.assess(timer.now()),
      );
    },
  });
  return detector;
}

/** Returns the position of a host among all in an order that the key draws. */
function rankOf(
  own: HostId,
  { key, hosts }: { key: string; hosts: readonly HostId[] },
): number {
  const weight = hashWeight(key, own);
  return hosts.filter((host) => hashWeight(key, host) > weight).length;
}
