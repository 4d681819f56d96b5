import { listAllowed } from "@wasabivane/bundle";
import { type CommandReport, EXIT_FINDINGS, EXIT_OK } from "@wasabivane/common";
import type { EntryClient } from "./entryClient.ts";
import {
  fetchFleetStatus,
  type FleetStatus,
  formatUnresponsiveHosts,
} from "./fleetStatus.ts";

/** Options of {@link drainCommand}. */
export interface DrainOptions {
  readonly host: string;
  /** Defaults to the bundle's default stop plan. */
  readonly stopPlan?: string;
}

/** Starts a planned stop of one entry host. */
export async function drainCommand(
  clients: readonly EntryClient[],
  { host, stopPlan }: DrainOptions,
): Promise<CommandReport> {
  const fleet = await fetchFleetStatus(clients);
  const found = fleet.responding.find(({ status }) => status.host === host);
  if (found === undefined) return unknownHostReport(fleet, host);
  const result = await found.client.drain(stopPlan);
  return result.match(
    (state) => ({
      exitCode: state === "started" ? EXIT_OK : EXIT_FINDINGS,
      data: { host, state },
      lines: [
        state === "started"
          ? `${host} has started to drain`
          : `${host} is already draining`,
      ],
    }),
    (error) => ({
      exitCode: EXIT_FINDINGS,
      data: { host, error },
      lines: [`${host}: ${error.kind} (${error.detail})`],
    }),
  );
}

function unknownHostReport(fleet: FleetStatus, host: string): CommandReport {
  const hosts = fleet.responding.map(({ status }) => status.host);
  const message = `No responding entry host is named ${JSON.stringify(host)}`;
  const allowed = listAllowed(hosts, { found: host });
  return {
    exitCode: EXIT_FINDINGS,
    data: { error: { kind: "unknown-host", message, allowed } },
    lines: [
      `${message}; allowed: ${allowed}`,
      ...formatUnresponsiveHosts(fleet),
    ],
  };
}
