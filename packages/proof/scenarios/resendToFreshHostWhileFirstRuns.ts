import type { FaultScenario } from "@wasabivane/proof";

// Guards against a restarted host without a bundle reporting a resend as not
// run while the first attempt runs at another host.
export const RESEND_TO_FRESH_HOST_WHILE_FIRST_RUNS: FaultScenario = {
  name: "resendToFreshHostWhileFirstRuns",
  requests: { "save-1": { kind: "save" } },
  story: [
    { at: 0, do: "slow", upstream: "casefile-1", factor: 20 },
    { at: 0, do: "slow", upstream: "casefile-2", factor: 20 },
    { at: 0, do: "send", request: "save-1", via: "entry-2" },
    { at: 100, do: "restart", hosts: ["entry-3"] },
    { at: 150, do: "send", request: "save-1", via: "entry-3" },
  ],
  expect: { "save-1": { ends: ["whole"], dispatches: 1 } },
};
