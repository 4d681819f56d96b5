import { type Milliseconds, sleep, type Timer } from "@wasabivane/common";
import type { Result } from "neverthrow";
import type { DecisionLog } from "./decisionLog.ts";

/** Time for which a port may stay taken, as by a process that is ending. */
const PATIENCE_MS: Milliseconds = 5_000;
const RETRY_MS: Milliseconds = 100;

/** Code of the runtime's error for a port that is taken. */
export const PORT_TAKEN = "EADDRINUSE";

/** An error that may be over soon. */
export interface PortError {
  /** Whether another socket has the port. */
  readonly isTaken: boolean;
  readonly detail: string;
}

/** Dependencies of {@link openPort}. */
export interface OpenPortOptions {
  readonly timer: Timer;
  readonly log: DecisionLog;
}

/** Opens a port, again and again for a while if it is taken. */
export async function openPort<Value, Failure extends PortError>(
  open: () => Promise<Result<Value, Failure>>,
  { timer, log }: OpenPortOptions,
): Promise<Result<Value, Failure>> {
  const end = timer.now() + PATIENCE_MS;
  let opened = await open();
  if (opened.isErr() && opened.error.isTaken) {
    log.write("port_in_use", { detail: opened.error.detail });
  }
  while (opened.isErr() && opened.error.isTaken && timer.now() < end) {
    await sleep(timer, RETRY_MS);
    opened = await open();
  }
  return opened;
}
