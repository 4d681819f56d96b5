import { asId, type HostId } from "@wasabivane/common";
import type { View } from "@wasabivane/coordination";
import type { ModelOptions } from "./modelCheck.ts";

const A = asId<HostId>("a");
const B = asId<HostId>("b");
const D = asId<HostId>("d");

/** The key's home moves from one host to another, and nobody stays. */
const REPLACED: readonly View[] = [
  { version: 1, hosts: [A] },
  { version: 2, hosts: [B] },
];
/** The key's home leaves a list of three. */
const SHRUNK: readonly View[] = [
  { version: 1, hosts: [A, B, D] },
  { version: 2, hosts: [B, D] },
];
const NOTHING = { restarts: [], entries: [], claimDeliveries: 1 } as const;

/** Names of the explorations. */
export type ModelScopeName =
  | "viewChange"
  | "homeChange"
  | "granterRestart"
  | "keyExpiry";

/** Explorations that end within seconds; each reaches what one safeguard is for. */
export const SMALL_SCOPES: Readonly<Record<ModelScopeName, ModelOptions>> = {
  viewChange: {
    homes: [A, D],
    bounds: {
      ...NOTHING,
      lists: SHRUNK,
      readers: [D],
      ticks: 1,
      rounds: { a: 1, d: 2 },
    },
  },
  homeChange: {
    homes: [A, B],
    bounds: {
      ...NOTHING,
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
      ...NOTHING,
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
      ...NOTHING,
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

/** The same with more of everything, for `npm run modelcheck`. */
export const LARGE_SCOPES: Readonly<Record<ModelScopeName, ModelOptions>> = {
  viewChange: widened("viewChange", { ticks: 2, readers: [B, D] }),
  homeChange: widened("homeChange", {
    rounds: { a: 1, b: 2 },
    readers: [A, B],
    hasDelayedReplies: true,
  }),
  granterRestart: widened("granterRestart", { ticks: 1 }),
  keyExpiry: widened("keyExpiry", { hasDelayedReplies: true }),
};

function widened(
  name: ModelScopeName,
  changes: Partial<ModelOptions["bounds"]>,
): ModelOptions {
  const scope = SMALL_SCOPES[name];
  return { ...scope, bounds: { ...scope.bounds, ...changes } };
}
