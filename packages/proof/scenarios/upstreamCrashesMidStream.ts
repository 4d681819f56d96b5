import type { FaultScenario } from "@wasabivane/proof";

// An engine crashes in the middle of a draft and comes back without memory of
// it. The rest cannot be fetched and the draft is not run again, so the caller
// gets an error that says so, and no part of a draft that looks whole.
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
