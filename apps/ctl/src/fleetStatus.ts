import type { EntryStatus } from "@wasabivane/bundle";
import type { Result } from "neverthrow";
import type { EntryClient, EntryError } from "./entryClient.ts";

/** Result of querying one entry host. */
export interface HostResult<Value> {
  readonly client: EntryClient;
  readonly result: Result<Value, EntryError>;
}

/** An entry host that returned its status. */
export interface RespondingHost {
  readonly client: EntryClient;
  readonly status: EntryStatus;
}

/** An entry host that gave no usable response. */
export interface UnresponsiveHost {
  readonly client: EntryClient;
  readonly error: EntryError;
}

/** Statuses of all queried entry hosts. */
export interface FleetStatus {
  readonly responding: readonly RespondingHost[];
  readonly unresponsive: readonly UnresponsiveHost[];
}

/**
 * Queries all entry hosts concurrently; results follow the order of `clients`.
 */
export function queryAll<Value>(
  clients: readonly EntryClient[],
  query: (client: EntryClient) => Promise<Result<Value, EntryError>>,
): Promise<HostResult<Value>[]> {
  return Promise.all(clients.map(async (client) => ({
    client,
    result: await query(client),
  })));
}

/** Fetches the status of all entry hosts. */
export async function fetchFleetStatus(
  clients: readonly EntryClient[],
): Promise<FleetStatus> {
  const results = await queryAll(clients, (client) => client.fetchStatus());
  const responding: RespondingHost[] = [];
  const unresponsive: UnresponsiveHost[] = [];
  for (const { client, result } of results) {
    if (result.isOk()) responding.push({ client, status: result.value });
    else unresponsive.push({ client, error: result.error });
  }
  return { responding, unresponsive };
}

/** Formats one line for each unresponsive entry host. */
export function formatUnresponsiveHosts(
  { unresponsive }: FleetStatus,
): string[] {
  return unresponsive.map(({ client, error }) =>
    `${client.url}: ${error.kind} (${error.detail})`
  );
}

/** Lists unresponsive hosts for the JSON report. */
export function unresponsiveHostData(
  { unresponsive }: FleetStatus,
): { url: string; error: EntryError }[] {
  return unresponsive.map(({ client, error }) => ({ url: client.url, error }));
}
