import type { EntryStatus } from "@wasabivane/bundle";
import { type CommandReport, EXIT_FINDINGS, EXIT_OK } from "@wasabivane/common";
import type { EntryClient } from "./entryClient.ts";
import {
  fetchFleetStatus,
  formatUnresponsiveHosts,
  unresponsiveHostData,
} from "./fleetStatus.ts";
import { formatTable, type Row } from "./formatTable.ts";

const HEADER = [
  "HOST",
  "FAILURE DOMAIN",
  "PHASE",
  "VERSION",
  "HOST LIST",
  "ALIVE MEMBERS",
  "WAITING",
  "IN FLIGHT",
  "ENDINGS",
];

/** Matches the name of a request outcome counter and captures the outcome. */
const OUTCOME_COUNTER = /^request\.ended\{(?:.*,)?ending=([^,}]+)/;

/** Reports the state of each entry host. */
export async function statusCommand(
  clients: readonly EntryClient[],
): Promise<CommandReport> {
  const fleet = await fetchFleetStatus(clients);
  const statuses = fleet.responding.map(({ status }) => status);
  return {
    exitCode: fleet.unresponsive.length === 0 ? EXIT_OK : EXIT_FINDINGS,
    data: { hosts: statuses, silent: unresponsiveHostData(fleet) },
    lines: [
      ...formatTable(HEADER, statuses.map(createStatusRow)),
      ...formatUnresponsiveHosts(fleet),
    ],
  };
}

function createStatusRow(status: EntryStatus): Row {
  const { members, waiting, upstreams, bundle } = status;
  const alive = members.filter(({ state }) => state === "alive").length;
  return [
    status.host,
    status.failureDomain,
    status.phase,
    bundle?.version ?? "-",
    status.hostListVersion ?? "-",
    `${alive} of ${members.length}`,
    sum(waiting.map(({ requests }) => requests)),
    sum(upstreams.map(({ inFlight }) => inFlight)),
    formatOutcomes(status),
  ];
}

/** Formats the outcome counters, summed over their other tags. */
function formatOutcomes({ counters }: EntryStatus): string {
  const sums = new Map<string, number>();
  for (const [name, value] of Object.entries(counters)) {
    const ending = OUTCOME_COUNTER.exec(name)?.[1];
    if (ending !== undefined) sums.set(ending, (sums.get(ending) ?? 0) + value);
  }
  return [...sums].map(([ending, value]) => `${ending} ${value}`).join(", ");
}

function sum(numbers: readonly number[]): number {
  return numbers.reduce((total, number) => total + number, 0);
}
