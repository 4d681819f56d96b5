import type { FaultScenario } from "@wasabivane/proof";

// Guards against a restarted host taking an outdated bundle from a stale
// platform while its peers have a newer one in force.
export const HOST_RESTARTS_WITH_STALE_SERVICE: FaultScenario = {
  name: "hostRestartsWithStaleService",
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
