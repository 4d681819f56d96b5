import type { FaultScenario } from "@wasabivane/proof";

// A host is told to stop while a long draft streams through it, a save waits
// for its answer and a review was just accepted there. The draft and the save
// end whole on their own connections; the review is handed over, and its caller
// fetches it from another host.
export const GRACEFUL_STOP_COMPLETES_WORK: FaultScenario = {
  name: "plannedStopCutsNothing",
  requests: {
    "draft-1": { kind: "draft", tokens: 200 },
    "save-1": { kind: "save", hasKey: true },
    "review-1": { kind: "review", deadlineMs: 40_000 },
  },
  story: [
    { at: 0, do: "send", request: "draft-1", via: "entry-1" },
    { at: 50, do: "send", request: "save-1", via: "entry-1" },
    { at: 100, do: "send", request: "review-1", via: "entry-1" },
    {
      once: { request: "review-1", is: "accepted" },
      do: "stop",
      hosts: ["entry-1"],
    },
  ],
  expect: {
    "draft-1": { ends: ["whole"], dispatches: 1 },
    "save-1": { ends: ["whole"], dispatches: 1 },
    "review-1": { ends: ["whole"], dispatches: 1 },
  },
};
