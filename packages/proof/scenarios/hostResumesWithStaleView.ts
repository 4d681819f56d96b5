import type { FaultScenario } from "@wasabivane/proof";

// Guards against a second dispatch of a key by hosts that resume after a long
// pause with an outdated view and queued requests.
export const HOST_RESUMES_WITH_STALE_VIEW: FaultScenario = {
  name: "hostResumesWithStaleView",
  requests: { "save-1": { kind: "save" }, "save-2": { kind: "save" } },
  story: [
    { at: 0, do: "crash", upstream: "casefile-1", forMs: 3_000 },
    { at: 0, do: "crash", upstream: "casefile-2", forMs: 3_000 },
    { at: 100, do: "send", request: "save-1", via: "entry-1" },
    { at: 100, do: "send", request: "save-2", via: "entry-2" },
    {
      at: 102,
      do: "pause",
      hosts: ["entry-1", "entry-2"],
      forMs: 3_600_000,
    },
    { at: 4_000, do: "send", request: "save-1", via: "entry-3" },
    { at: 4_000, do: "send", request: "save-2", via: "entry-4" },
    { at: 9_000, do: "send", request: "save-1", via: "entry-4" },
    { at: 3_599_000, do: "send", request: "save-1", via: "entry-3" },
  ],
};
