import type { FaultScenario } from "@wasabivane/proof";

// Guards against a truncated draft presented as complete after its engine
// crashed and lost its state.
export const UPSTREAM_CRASHES_MID_STREAM: FaultScenario = {
  name: "upstreamCrashesMidStream",
  requests: { "draft-1": { kind: "draft", tokens: 60 } },
  story: [
    { at: 0, do: "send", request: "draft-1", via: "entry-1" },
    ...["drafter-01", "drafter-02", "drafter-03"].map((upstream) =>
      ({
        once: { request: "draft-1", is: "dispatched" },
        after: 300,
        do: "crash",
        upstream,
        forMs: 300,
      }) as const
    ),
  ],
  expect: { "draft-1": { ends: ["unknown"], dispatches: 1 } },
};
