import type { EntryStatus } from "@wasabivane/bundle";
import type { Result } from "neverthrow";
import type { EntryClient, EntryError } from "./entryClient.ts";

/** What one entry host answered. */
export interface HostAnswer<Value> {
  readonly client: EntryClient;
  readonly result: Result<Value, EntryError>;
}

/** An entry host that answered its status. */
export interface AnsweringHost {
  readonly client: EntryClient;
  readonly status: EntryStatus;
}

/** An entry host that did not. */
export interface SilentHost {
  readonly client: EntryClient;
  readonly error: EntryError;
}

/** The statuses of all entry hosts that were asked. */
export interface FleetStatus {
  readonly answering: readonly AnsweringHost[];
  readonly silent: readonly SilentHost[];
}

/** Asks all entry hosts at once; answers come in the order of the clients. */
export function askAll<Value>(
  clients: readonly EntryClient[],
  ask: (client: EntryClient) => Promise<Result<Value, EntryError>>,
): Promise<HostAnswer<Value>[]> {
  return Promise.all(clients.map(async (client) => ({
    client,
    result: await ask(client),
  })));
}

/** Asks all entry hosts for their status. */
export async function askFleet(
  clients: readonly EntryClient[],
): Promise<FleetStatus> {
  const answers = await askAll(clients, (client) => client.status());
  const answering: AnsweringHost[] = [];
  const silent: SilentHost[] = [];
  for (const { client, result } of answers) {
    if (result.isOk()) answering.push({ client, status: result.value });
    else silent.push({ client, error: result.error });
  }
  return { answering, silent };
}

/** One line for each entry host that gave no answer. */
export function silentLines({ silent }: FleetStatus): string[] {
  return silent.map(({ client, error }) =>
    `${client.url}: ${error.kind} (${error.detail})`
  );
}

/** Silent hosts as programs read them. */
export function silentData(
  { silent }: FleetStatus,
): { url: string; error: EntryError }[] {
  return silent.map(({ client, error }) => ({ url: client.url, error }));
}
