import { type CommandReport, EXIT_FINDINGS, EXIT_OK } from "@wasabivane/common";
import type { Result } from "neverthrow";
import type { EntryClient, EntryError } from "./entryClient.ts";
import { queryAll } from "./fleetStatus.ts";
import { formatTable } from "./formatTable.ts";

/** Reports which entry hosts are alive and which accept new connections. */
export async function healthCommand(
  clients: readonly EntryClient[],
): Promise<CommandReport> {
  const [healthy, ready] = await Promise.all([
    queryAll(clients, (client) => client.isHealthy()),
    queryAll(clients, (client) => client.isReady()),
  ]);
  const hosts = clients.map(({ url }, index) => ({
    url,
    health: formatCheck(healthy[index]!.result),
    ready: formatCheck(ready[index]!.result),
  }));
  const isHealthy = hosts.every((host) =>
    host.health === "yes" && host.ready === "yes"
  );
  return {
    exitCode: isHealthy ? EXIT_OK : EXIT_FINDINGS,
    data: { hosts },
    lines: formatTable(
      ["ENTRY", "ALIVE", "READY"],
      hosts.map((host) => [host.url, host.health, host.ready]),
    ),
  };
}

function formatCheck(result: Result<boolean, EntryError>): string {
  return result.match(
    (value) => (value ? "yes" : "no"),
    ({ kind, detail }) => `${kind} (${detail})`,
  );
}
