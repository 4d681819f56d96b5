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

/** A counter of endings, as entry hosts name it, and which ending it counts. */
const ENDING_COUNTER = /^request\.ended\{(?:.*,)?ending=([^,}]+)/;

/** Tells how each entry host stands, one line each. */
export async function statusCommand(
  clients: readonly EntryClient[],
): Promise<CommandReport> {
  const fleet = await fetchFleetStatus(clients);
  const statuses = fleet.responding.map(({ status }) => status);
  return {
    exitCode: fleet.unresponsive.length === 0 ? EXIT_OK : EXIT_FINDINGS,
    data: { hosts: statuses, silent: unresponsiveHostData(fleet) },
    lines: [
      ...formatTable(HEADER, statuses.map(statusRow)),
      ...formatUnresponsiveHosts(fleet),
    ],
  };
}

function statusRow(status: EntryStatus): Row {
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
    endingsText(status),
  ];
}

/** The counters of endings, summed over their other tags. */
function endingsText({ counters }: EntryStatus): string {
  const sums = new Map<string, number>();
  for (const [name, value] of Object.entries(counters)) {
    const ending = ENDING_COUNTER.exec(name)?.[1];
    if (ending !== undefined) sums.set(ending, (sums.get(ending) ?? 0) + value);
  }
  return [...sums].map(([ending, value]) => `${ending} ${value}`).join(", ");
}

function sum(numbers: readonly number[]): number {
  return numbers.reduce((total, number) => total + number, 0);
}
