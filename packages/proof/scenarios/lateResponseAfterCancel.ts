import type { FaultScenario } from "@wasabivane/proof";

// Guards against a late response of a cancelled request reaching another caller
// of the same upstream.
export const LATE_RESPONSE_AFTER_CANCEL: FaultScenario = {
  name: "lateResponseAfterCancel",
  requests: {
    "draft-1": { kind: "draft", hasKey: false, tokens: 40 },
    "draft-2": { kind: "draft", hasKey: false, tokens: 40 },
    "save-1": { kind: "save", hasKey: false },
    "save-2": { kind: "save", hasKey: false },
  },
  story: [
    ...["drafter-01", "drafter-02", "drafter-03", "casefile-1", "casefile-2"]
      .map((upstream) => ({ at: 0, do: "slow", upstream, factor: 5 }) as const),
    { at: 0, do: "send", request: "draft-1", via: "entry-1" },
    { at: 0, do: "send", request: "save-1", via: "entry-1" },
    { at: 100, do: "hang-up", request: "save-1" },
    { at: 150, do: "send", request: "save-2", via: "entry-1" },
    { at: 500, do: "hang-up", request: "draft-1" },
    { at: 510, do: "send", request: "draft-2", via: "entry-1" },
  ],
  expect: {
    "save-1": { ends: ["unknown"], dispatches: 1 },
    "save-2": { ends: ["whole"], dispatches: 1 },
    "draft-1": { ends: ["unknown"], dispatches: 1 },
    "draft-2": { ends: ["whole"], dispatches: 1 },
  },
};
