import type { EntryStatus } from "@wasabivane/bundle";
import { type CommandReport, EXIT_FINDINGS, EXIT_OK } from "@wasabivane/common";
import type { EntryClient } from "./entryClient.ts";
import {
  fetchFleetStatus,
  type FleetStatus,
  formatUnresponsiveHosts,
  unresponsiveHostData,
} from "./fleetStatus.ts";
import { formatTable } from "./formatTable.ts";

type CoordinatedUpstream = EntryStatus["upstreams"][number] & {
  /** The entry host that coordinates the upstream's pool. */
  readonly keeper: string;
};

/**
 * Reports the load of each upstream, as seen by the coordinator of its pool.
 */
export async function upstreamsCommand(
  clients: readonly EntryClient[],
): Promise<CommandReport> {
  const fleet = await fetchFleetStatus(clients);
  const upstreams = listUpstreams(fleet);
  return {
    exitCode: fleet.unresponsive.length === 0 ? EXIT_OK : EXIT_FINDINGS,
    data: { upstreams, silent: unresponsiveHostData(fleet) },
    lines: [
      ...formatTable(
        ["SERVICE", "UPSTREAM", "IN FLIGHT", "BOUND", "STATE", "KEEPER"],
        upstreams.map((upstream) => [
          upstream.service,
          upstream.upstream,
          upstream.inFlight,
          upstream.bound,
          formatState(upstream),
          upstream.keeper,
        ]),
      ),
      ...formatUnresponsiveHosts(fleet),
    ],
  };
}

function listUpstreams(
  { responding }: FleetStatus,
): CoordinatedUpstream[] {
  const upstreams = responding.flatMap(({ status }) =>
    status.upstreams.map((upstream) => ({ ...upstream, keeper: status.host }))
  );
  return upstreams.sort((left, right) =>
    left.service.localeCompare(right.service) ||
    left.upstream.localeCompare(right.upstream)
  );
}

function formatState({ isEjected, isLeaving }: CoordinatedUpstream): string {
  const states = [isLeaving && "leaving", isEjected && "ejected"];
  return states.filter((state) => state !== false).join(", ") || "live";
}
