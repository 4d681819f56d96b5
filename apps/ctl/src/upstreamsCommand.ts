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

type KeptUpstream = EntryStatus["upstreams"][number] & {
  /** The entry host that keeps the upstream's pool. */
  readonly keeper: string;
};

/** Tells the load of each upstream, as the keeper of its pool sees it. */
export async function upstreamsCommand(
  clients: readonly EntryClient[],
): Promise<CommandReport> {
  const fleet = await fetchFleetStatus(clients);
  const upstreams = keptUpstreams(fleet);
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
          stateText(upstream),
          upstream.keeper,
        ]),
      ),
      ...formatUnresponsiveHosts(fleet),
    ],
  };
}

function keptUpstreams({ responding: answering }: FleetStatus): KeptUpstream[] {
  const upstreams = answering.flatMap(({ status }) =>
    status.upstreams.map((upstream) => ({ ...upstream, keeper: status.host }))
  );
  return upstreams.sort((left, right) =>
    left.service.localeCompare(right.service) ||
    left.upstream.localeCompare(right.upstream)
  );
}

function stateText({ isEjected, isLeaving }: KeptUpstream): string {
  const states = [isLeaving && "leaving", isEjected && "ejected"];
  return states.filter((state) => state !== false).join(", ") || "live";
}
