import { type CommandReport, EXIT_FINDINGS, EXIT_OK } from "@wasabivane/common";
import type { EntryClient } from "./entryClient.ts";
import {
  askFleet,
  type FleetStatus,
  silentData,
  silentLines,
} from "./fleet.ts";
import { formatTable } from "./table.ts";

/** Tells every counter that moved, summed over all entry hosts. */
export async function countersCommand(
  clients: readonly EntryClient[],
): Promise<CommandReport> {
  const fleet = await askFleet(clients);
  const counters = summedCounters(fleet);
  return {
    exitCode: fleet.silent.length === 0 ? EXIT_OK : EXIT_FINDINGS,
    data: { counters: Object.fromEntries(counters), silent: silentData(fleet) },
    lines: [
      ...formatTable(["COUNTER", "SUM"], counters),
      ...silentLines(fleet),
    ],
  };
}

function summedCounters({ answering }: FleetStatus): [string, number][] {
  const sums = new Map<string, number>();
  for (const { status } of answering) {
    for (const [name, value] of Object.entries(status.counters)) {
      sums.set(name, (sums.get(name) ?? 0) + value);
    }
  }
  return [...sums].filter(([, sum]) => sum !== 0).sort(([left], [right]) =>
    left.localeCompare(right)
  );
}
