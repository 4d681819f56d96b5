import type { FaultScenario } from "@wasabivane/proof";

// Guards against gaps in a stream that is resumed after the connections to its
// engine broke twice.
export const UPSTREAM_BREAKS_STREAM_AND_RESUMES: FaultScenario = {
  name: "upstreamBreaksStreamAndResumes",
  requests: {
    "draft-1": { kind: "draft", tokens: 60 },
    "answer-1": { kind: "answer", tokens: 60 },
  },
  story: [
    { at: 0, do: "send", request: "draft-1", via: "entry-1" },
    { at: 0, do: "send", request: "answer-1", via: "entry-2" },
    ...["drafter-01", "drafter-02", "drafter-03"].flatMap((upstream) => [
      { at: 300, do: "break-streams", upstream } as const,
      { at: 700, do: "break-streams", upstream } as const,
    ]),
  ],
  expect: {
    "draft-1": { ends: ["whole"], dispatches: 1 },
    "answer-1": { ends: ["whole"], dispatches: 1 },
  },
};
