import { type CommandReport, EXIT_FINDINGS, EXIT_OK } from "@wasabivane/common";
import type { EntryClient } from "./entryClient.ts";
import {
  fetchFleetStatus,
  formatUnresponsiveHosts,
  type RespondingHost,
  unresponsiveHostData,
} from "./fleetStatus.ts";
import { formatTable } from "./formatTable.ts";

const ROOT_PREFIX_LENGTH = 12;

/** State of one entry host relative to the newest version seen. */
type VersionState = "in-force" | "on-its-way" | "no-bundle" | "conflict";

const STATE_TEXTS: Readonly<Record<VersionState, string>> = {
  "in-force": "in force",
  "on-its-way": "still on its way",
  "no-bundle": "no bundle yet",
  conflict: "same version, other root",
};

/**
 * Reports the bundle version in force on each entry host and hosts that lag
 * behind.
 */
export async function versionsCommand(
  clients: readonly EntryClient[],
): Promise<CommandReport> {
  const fleet = await fetchFleetStatus(clients);
  const newest = findNewestHost(fleet.responding);
  const hosts = fleet.responding.map((host) => ({
    ...host,
    state: determineState(host, newest),
  }));
  const missingMembers = findMissingMembers(fleet.responding);
  const isUpToDate = fleet.unresponsive.length === 0 &&
    missingMembers.length === 0 &&
    hosts.every(({ state }) => state === "in-force");
  return {
    exitCode: isUpToDate ? EXIT_OK : EXIT_FINDINGS,
    data: {
      newest: newest?.status.bundle ?? null,
      hosts: hosts.map(({ status, state }) => ({
        host: status.host,
        failureDomain: status.failureDomain,
        version: status.bundle?.version ?? null,
        root: status.bundle?.root ?? null,
        state,
      })),
      unheard: missingMembers,
      silent: unresponsiveHostData(fleet),
    },
    lines: [
      ...formatTable(
        ["HOST", "FAILURE DOMAIN", "VERSION", "ROOT", "STATE"],
        hosts.map(({ status, state }) => [
          status.host,
          status.failureDomain,
          status.bundle?.version ?? "-",
          status.bundle?.root.slice(0, ROOT_PREFIX_LENGTH) ?? "-",
          formatState(state, newest),
        ]),
      ),
      ...missingMembers.map((host) =>
        `${host}: a member that gave no answer here`
      ),
      ...formatUnresponsiveHosts(fleet),
    ],
  };
}

/**
 * Lists members that responding hosts name but that did not respond themselves.
 */
function findMissingMembers(hosts: readonly RespondingHost[]): string[] {
  const responding = new Set(hosts.map(({ status }) => status.host));
  const members = hosts.flatMap(({ status }) =>
    status.members.map(({ host }) => host)
  );
  const missing = members.filter((host) => !responding.has(host));
  return [...new Set(missing)].sort();
}

function findNewestHost(
  hosts: readonly RespondingHost[],
): RespondingHost | undefined {
  return hosts.reduce<RespondingHost | undefined>(
    (newest, host) => versionOf(host) > versionOf(newest) ? host : newest,
    undefined,
  );
}

function versionOf(host: RespondingHost | undefined): number {
  return host?.status.bundle?.version ?? 0;
}

function determineState(
  host: RespondingHost,
  newest: RespondingHost | undefined,
): VersionState {
  if (host.status.bundle === null) return "no-bundle";
  if (versionOf(host) < versionOf(newest)) return "on-its-way";
  const isSame = host.status.bundle.root === newest?.status.bundle?.root;
  return isSame ? "in-force" : "conflict";
}

function formatState(
  state: VersionState,
  newest: RespondingHost | undefined,
): string {
  const text = STATE_TEXTS[state];
  return state === "on-its-way" ? `${text}: ${versionOf(newest)}` : text;
}
