import type { EntryStatus } from "@wasabivane/bundle";
import { type CommandReport, EXIT_FINDINGS, EXIT_OK } from "@wasabivane/common";
import type { EntryClient } from "./entryClient.ts";
import { askFleet, silentData, silentLines } from "./fleet.ts";
import { formatTable, type Row } from "./table.ts";

const HEADER = [
  "HOST",
  "FAILURE DOMAIN",
  "PHASE",
  "VERSION",
  "HOST LIST",
  "LIVE MEMBERS",
  "WAITING",
  "IN FLIGHT",
  "ENDINGS",
];

/** Tells how each entry host stands, one line each. */
export async function statusCommand(
  clients: readonly EntryClient[],
): Promise<CommandReport> {
  const fleet = await askFleet(clients);
  const statuses = fleet.answering.map(({ status }) => status);
  return {
    exitCode: fleet.silent.length === 0 ? EXIT_OK : EXIT_FINDINGS,
    data: { hosts: statuses, silent: silentData(fleet) },
    lines: [
      ...formatTable(HEADER, statuses.map(statusRow)),
      ...silentLines(fleet),
    ],
  };
}

function statusRow(status: EntryStatus): Row {
  const { members, waiting, upstreams, bundle } = status;
  const live = members.filter(({ state }) => state === "live").length;
  return [
    status.host,
    status.failureDomain,
    status.phase,
    bundle?.version ?? "-",
    status.hostListVersion ?? "-",
    `${live} of ${members.length}`,
    sum(waiting.map(({ requests }) => requests)),
    sum(upstreams.map(({ inFlight }) => inFlight)),
    endingsText(status),
  ];
}

function endingsText({ endings }: EntryStatus): string {
  const parts = Object.entries(endings).map(([ending, value]) =>
    `${ending} ${typeof value === "number" ? value : JSON.stringify(value)}`
  );
  return parts.join(", ");
}

function sum(numbers: readonly number[]): number {
  return numbers.reduce((total, number) => total + number, 0);
}
