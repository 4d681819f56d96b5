import type { FaultScenario } from "@wasabivane/proof";

// Guards against a truncated or repeated draft when its owner is killed while it
// streams. The key's home knows the dispatch, so a resend resumes the stream.
export const OWNER_KILLED_MID_STREAM_RESPONSE_RESUMED: FaultScenario = {
  name: "ownerKilledMidStreamResponseResumed",
  requests: { "draft-1": { kind: "draft", tokens: 100 } },
  story: [
    { at: 0, do: "send", request: "draft-1", via: "entry-1" },
    {
      once: { request: "draft-1", is: "dispatched" },
      after: 500,
      do: "kill",
      hosts: ["entry-1"],
    },
    { at: 8_000, do: "send", request: "draft-1", via: "entry-3" },
  ],
  expect: { "draft-1": { ends: ["whole"], dispatches: 1 } },
};
