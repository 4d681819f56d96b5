import process from "node:process";
import type { ExecutionContext } from "ava";

/** Collects the errors that would end the process; for serial tests. */
export function collectUncaughtErrors(t: ExecutionContext): unknown[] {
  const errors: unknown[] = [];
  const collect = (error: unknown): void => void errors.push(error);
  for (const event of ["uncaughtException", "unhandledRejection"]) {
    const listeners = process.rawListeners(event) as (() => void)[];
    process.removeAllListeners(event);
    process.on(event, collect);
    t.teardown(() => {
      process.off(event, collect);
      for (const listener of listeners) process.on(event, listener);
    });
  }
  return errors;
}
