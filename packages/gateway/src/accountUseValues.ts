import type { AccountUse } from "@wasabivane/admission";
import type { LogValues } from "./decisionLog.ts";

const MAXIMUM_ACCOUNTS = 8;

/**
 * Returns the log values for the use of a cell by accounts, the largest ones as
 * `ACCOUNT=SHARE/WAITING/REFUSED`, where SHARE is that of all starts;
 * `undefined` if there are fewer than two.
 */
export function accountUseValues(
  uses: readonly AccountUse[],
): LogValues | undefined {
  if (uses.length < 2) return undefined;
  const starts = uses.reduce((sum, use) => sum + use.starts, 0);
  const largest = uses.slice(0, MAXIMUM_ACCOUNTS).map((use) => {
    const share = use.starts / Math.max(1, starts);
    const name = use.account ?? "anonymous";
    return `${name}=${share.toFixed(2)}/${use.waiting}/${use.refused}`;
  });
  return { accounts: uses.length, starts, largest: largest.join(" ") };
}
