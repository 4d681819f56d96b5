import type { FaultScenario } from "@wasabivane/proof";

// Guards against passing on a response of another request, by nonce or by body,
// when upstreams mix up their responses.
export const MISROUTED_RESPONSES: FaultScenario = {
  name: "misroutedResponses",
  requests: {
    "draft-1": { kind: "draft" },
    "draft-2": { kind: "draft" },
    "draft-3": { kind: "draft" },
    "answer-1": { kind: "answer" },
    "save-1": { kind: "save" },
  },
  story: [
    { at: 0, do: "send", request: "draft-1", via: "entry-1" },
    ...["drafter-01", "drafter-02", "drafter-03"].map((upstream) =>
      ({ at: 1_500, do: "cross-answers", upstream, what: "answer" }) as const
    ),
    ...["casefile-1", "casefile-2"].map((upstream) =>
      ({ at: 1_500, do: "cross-answers", upstream, what: "answer" }) as const
    ),
    { at: 1_600, do: "send", request: "draft-2", via: "entry-2" },
    { at: 1_600, do: "send", request: "save-1", via: "entry-2" },
    { at: 3_000, do: "send", request: "answer-1", via: "entry-2" },
    ...["drafter-01", "drafter-02", "drafter-03"].map((upstream) =>
      ({ at: 4_500, do: "cross-answers", upstream, what: "body" }) as const
    ),
    { at: 4_600, do: "send", request: "draft-3", via: "entry-3" },
  ],
  expect: {
    "draft-1": { ends: ["whole"] },
    "draft-2": { ends: ["unknown"], dispatches: 1 },
    "draft-3": { ends: ["unknown"], dispatches: 1 },
    "save-1": { ends: ["unknown"], dispatches: 1 },
  },
};
