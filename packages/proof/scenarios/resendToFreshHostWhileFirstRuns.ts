import type { FaultScenario } from "@wasabivane/proof";

// A slow save runs through one host when its caller asks again through a host
// that has just restarted and has no bundle yet. That host cannot serve, but it
// must not say "not run" either: it did nothing itself, while the first sending
// of the same key is at its upstream.
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
