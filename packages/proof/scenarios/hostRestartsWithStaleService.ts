import type { FaultScenario } from "@wasabivane/proof";

// The configuration service falls back to an old state after a roll, and a
// host restarts. The service offers the fresh host the old bundle; its peers
// have the newer one in force, and the host takes that and nothing older.
export const HOST_RESTARTS_WITH_STALE_SERVICE: FaultScenario = {
  name: "freshHostMeetsStaleService",
  requests: { "draft-1": { kind: "draft", hasKey: false } },
  story: [
    { at: 0, do: "roll", version: 2 },
    { at: 3_000, do: "platform", state: "stale" },
    { at: 3_500, do: "roll", version: 3 },
    { at: 4_000, do: "restart", hosts: ["entry-1"] },
    { at: 10_000, do: "send", request: "draft-1", via: "entry-1" },
  ],
  expect: { "draft-1": { ends: ["whole"], dispatches: 1 } },
};
