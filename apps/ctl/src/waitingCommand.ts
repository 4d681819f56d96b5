import { type CommandReport, EXIT_FINDINGS, EXIT_OK } from "@wasabivane/common";
import type { EntryClient } from "./entryClient.ts";
import {
  fetchFleetStatus,
  type FleetStatus,
  formatUnresponsiveHosts,
  unresponsiveHostData,
} from "./fleetStatus.ts";
import { formatTable } from "./formatTable.ts";

interface WaitingGroup {
  readonly service: string;
  readonly tier: number;
  readonly account: string;
  readonly requests: number;
}

/**
 * Reports waiting requests by service, tier and client account, over all entry
 * hosts.
 */
export async function waitingCommand(
  clients: readonly EntryClient[],
): Promise<CommandReport> {
  const fleet = await fetchFleetStatus(clients);
  const groups = groupWaiting(fleet);
  return {
    exitCode: fleet.unresponsive.length === 0 ? EXIT_OK : EXIT_FINDINGS,
    data: { waiting: groups, silent: unresponsiveHostData(fleet) },
    lines: [
      ...formatTable(
        ["SERVICE", "TIER", "CLIENT ACCOUNT", "WAITING"],
        groups.map(({ service, tier, account, requests }) => [
          service,
          tier,
          account,
          requests,
        ]),
      ),
      ...formatUnresponsiveHosts(fleet),
    ],
  };
}

function groupWaiting({ responding }: FleetStatus): WaitingGroup[] {
  const groups = new Map<string, WaitingGroup>();
  for (const { status } of responding) {
    for (const { service, tier, account, requests } of status.waiting) {
      const key = JSON.stringify([service, tier, account]);
      const previous = groups.get(key)?.requests ?? 0;
      const total = previous + requests;
      groups.set(key, { service, tier, account, requests: total });
    }
  }
  return [...groups.values()].sort(compareGroups);
}

function compareGroups(left: WaitingGroup, right: WaitingGroup): number {
  return left.service.localeCompare(right.service) ||
    left.tier - right.tier ||
    left.account.localeCompare(right.account);
}
