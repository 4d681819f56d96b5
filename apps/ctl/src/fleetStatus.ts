import type { EntryStatus } from "@wasabivane/bundle";
import type { Result } from "neverthrow";
import type { EntryClient, EntryError } from "./entryClient.ts";

/** What one entry host answered. */
export interface HostResult<Value> {
  readonly client: EntryClient;
  readonly result: Result<Value, EntryError>;
}

/** An entry host that answered its status. */
export interface RespondingHost {
  readonly client: EntryClient;
  readonly status: EntryStatus;
}

/** An entry host that did not. */
export interface UnresponsiveHost {
  readonly client: EntryClient;
  readonly error: EntryError;
}

/** The statuses of all entry hosts that were asked. */
export interface FleetStatus {
  readonly responding: readonly RespondingHost[];
  readonly unresponsive: readonly UnresponsiveHost[];
}

/** Asks all entry hosts at once; answers come in the order of the clients. */
export function queryAll<Value>(
  clients: readonly EntryClient[],
  ask: (client: EntryClient) => Promise<Result<Value, EntryError>>,
): Promise<HostResult<Value>[]> {
  return Promise.all(clients.map(async (client) => ({
    client,
    result: await ask(client),
  })));
}

/** Asks all entry hosts for their status. */
export async function fetchFleetStatus(
  clients: readonly EntryClient[],
): Promise<FleetStatus> {
  const answers = await queryAll(clients, (client) => client.fetchStatus());
  const answering: RespondingHost[] = [];
  const silent: UnresponsiveHost[] = [];
  for (const { client, result } of answers) {
    if (result.isOk()) answering.push({ client, status: result.value });
    else silent.push({ client, error: result.error });
  }
  return { responding: answering, unresponsive: silent };
}

/** One line for each entry host that gave no answer. */
export function formatUnresponsiveHosts(
  { unresponsive: silent }: FleetStatus,
): string[] {
  return silent.map(({ client, error }) =>
    `${client.url}: ${error.kind} (${error.detail})`
  );
}

/** Silent hosts as programs read them. */
export function unresponsiveHostData(
  { unresponsive: silent }: FleetStatus,
): { url: string; error: EntryError }[] {
  return silent.map(({ client, error }) => ({ url: client.url, error }));
}
