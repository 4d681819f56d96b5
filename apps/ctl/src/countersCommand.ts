import { type CommandReport, EXIT_FINDINGS, EXIT_OK } from "@wasabivane/common";
import type { EntryClient } from "./entryClient.ts";
import {
  fetchFleetStatus,
  type FleetStatus,
  formatUnresponsiveHosts,
  unresponsiveHostData,
} from "./fleetStatus.ts";
import { formatTable } from "./formatTable.ts";

/** Reports every non-zero counter, summed over all entry hosts. */
export async function countersCommand(
  clients: readonly EntryClient[],
): Promise<CommandReport> {
  const fleet = await fetchFleetStatus(clients);
  const counters = sumCounters(fleet);
  return {
    exitCode: fleet.unresponsive.length === 0 ? EXIT_OK : EXIT_FINDINGS,
    data: {
      counters: Object.fromEntries(counters),
      silent: unresponsiveHostData(fleet),
    },
    lines: [
      ...formatTable(["COUNTER", "SUM"], counters),
      ...formatUnresponsiveHosts(fleet),
    ],
  };
}

function sumCounters(
  { responding }: FleetStatus,
): [string, number][] {
  const sums = new Map<string, number>();
  for (const { status } of responding) {
    for (const [name, value] of Object.entries(status.counters)) {
      sums.set(name, (sums.get(name) ?? 0) + value);
    }
  }
  return [...sums].filter(([, sum]) => sum !== 0).sort(([left], [right]) =>
    left.localeCompare(right)
  );
}
