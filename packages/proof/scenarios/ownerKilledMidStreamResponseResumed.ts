import type { FaultScenario } from "@wasabivane/proof";

// A draft streams when the host that holds the caller's connection dies; the
// home of the key is another host, which knows the dispatch. The caller asks again through another host, which resumes the draft at the engine
// that runs it. The caller gets the whole draft, and the engine ran it once.
export const OWNER_KILLED_MID_STREAM_RESPONSE_RESUMED: FaultScenario = {
  name: "ownerKilledMidStreamAnswerResumed",
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
