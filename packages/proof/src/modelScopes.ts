import { asId, type HostId } from "@wasabivane/common";
import type { View } from "@wasabivane/coordination";
import type { ModelOptions } from "./modelCheck.ts";

const A = asId<HostId>("a");
const B = asId<HostId>("b");
const D = asId<HostId>("d");

/** Host lists that replace the only host, and with it the key's home. */
const REPLACED: readonly View[] = [
  { version: 1, hosts: [A] },
  { version: 2, hosts: [B] },
];
/** Host lists that remove the key's home from three hosts. */
const SHRUNK: readonly View[] = [
  { version: 1, hosts: [A, B, D] },
  { version: 2, hosts: [B, D] },
];
const NO_EVENTS = { restarts: [], entries: [], claimDeliveries: 1 } as const;

/** Name of an exploration. */
export type ModelScopeName =
  | "viewChange"
  | "homeChange"
  | "granterRestart"
  | "keyExpiry";

/** Fast explorations, each covering the states that one safeguard protects. */
export const SMALL_SCOPES: Readonly<Record<ModelScopeName, ModelOptions>> = {
  viewChange: {
    homes: [A, D],
    bounds: {
      ...NO_EVENTS,
      lists: SHRUNK,
      readers: [D],
      ticks: 1,
      rounds: { a: 1, d: 2 },
    },
  },
  homeChange: {
    homes: [A, B],
    bounds: {
      ...NO_EVENTS,
      lists: REPLACED,
      readers: [B],
      ticks: 2,
      rounds: { a: 1, b: 1 },
      entries: [A, B],
    },
  },
  granterRestart: {
    homes: [A, D],
    bounds: {
      ...NO_EVENTS,
      lists: SHRUNK,
      readers: [D],
      ticks: 0,
      rounds: { a: 1, b: 1, d: 1 },
      restarts: [B],
    },
  },
  keyExpiry: {
    homes: [A],
    bounds: {
      ...NO_EVENTS,
      lists: REPLACED.slice(0, 1),
      readers: [],
      ticks: 3,
      rounds: { a: 3 },
      entries: [A, B],
      claimDeliveries: 2,
      lifetimeTicks: 1,
      hasAbandonment: true,
    },
  },
};

/** Explorations with wider bounds, for `npm run modelcheck`. */
export const LARGE_SCOPES: Readonly<Record<ModelScopeName, ModelOptions>> = {
  viewChange: widenScope("viewChange", { ticks: 2, readers: [B, D] }),
  homeChange: widenScope("homeChange", {
    rounds: { a: 1, b: 2 },
    readers: [A, B],
    hasDelayedReplies: true,
  }),
  granterRestart: widenScope("granterRestart", { ticks: 1 }),
  keyExpiry: widenScope("keyExpiry", { hasDelayedReplies: true }),
};

function widenScope(
  name: ModelScopeName,
  changes: Partial<ModelOptions["bounds"]>,
): ModelOptions {
  const scope = SMALL_SCOPES[name];
  return { ...scope, bounds: { ...scope.bounds, ...changes } };
}
