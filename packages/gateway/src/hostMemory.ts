import { MemoryBudget } from "@wasabivane/common";

/**
 * Shares of the process's memory limit. What is left is for the program itself, and
 * for what is no longer in use and not yet collected.
 */
const BODY_SHARE = 0.12;
const RESPONSE_SHARE = 0.1;
const TRANSFER_SHARE = 0.05;
const CONNECTION_SHARE = 0.1;
const SNAPSHOT_SHARE = 0.05;

/** What the items of one process hold that others send, by kind. */
export interface HostMemory {
  /** Bodies of callers' requests, until their response is complete. */
  readonly bodies: MemoryBudget;
  /** Parts of responses that cannot be passed on yet, or that callers have not read. */
  readonly responses: MemoryBudget;
  /** Contents of the store and of peers while they are received and decoded. */
  readonly transfers: MemoryBudget;
  /** Callers' connections, with what they have sent of incomplete heads. */
  readonly connections: MemoryBudget;
  /** Snapshots that peers have not read yet. */
  readonly snapshots: MemoryBudget;
}

/** Creates the budgets of a process that may use so many bytes. */
export function createHostMemory(limit = Infinity): HostMemory {
  return {
    bodies: new MemoryBudget({ limit: BODY_SHARE * limit }),
    responses: new MemoryBudget({ limit: RESPONSE_SHARE * limit }),
    transfers: new MemoryBudget({ limit: TRANSFER_SHARE * limit }),
    connections: new MemoryBudget({ limit: CONNECTION_SHARE * limit }),
    snapshots: new MemoryBudget({ limit: SNAPSHOT_SHARE * limit }),
  };
}
