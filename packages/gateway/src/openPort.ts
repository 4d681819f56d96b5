import { type Milliseconds, sleep, type Timer } from "@wasabivane/common";
import type { DecisionLog } from "./decisionLog.ts";

const RETRY_INTERVAL_MS: Milliseconds = 50;
const MAXIMUM_TRIES = 60;
const IN_USE = "EADDRINUSE";

/** Options of {@link openPort}. */
export interface OpenPortOptions {
  readonly timer: Timer;
  readonly log?: DecisionLog;
}

/**
 * Opens a port, and returns the error if that fails. A port in use is tried for
 * three seconds, as a process that was killed holds it until the system has
 * freed what it had.
 */
export async function openPort(
  tryToOpen: () => Promise<NodeJS.ErrnoException | undefined>,
  { timer, log }: OpenPortOptions,
): Promise<NodeJS.ErrnoException | undefined> {
  for (let tries = 1;; tries++) {
    const error = await tryToOpen();
    if (error?.code !== IN_USE || tries >= MAXIMUM_TRIES) return error;
    if (tries === 1) log?.write("port_in_use", { detail: error.message });
    await sleep(timer, RETRY_INTERVAL_MS);
  }
}
