import type { FaultScenario } from "@wasabivane/proof";

// A caller saves a record. The host that took the call is killed right after
// the call left for the upstream, and the caller asks again through another
// host. Only the dead host knew what it had sent, so the caller is told that
// the ending is unknown; the record is never saved a second time.
export const OWNER_KILLED_AFTER_DISPATCH: FaultScenario = {
  name: "ownerKilledAfterDispatch",
  requests: { "save-1": { kind: "save" } },
  story: [
    { at: 0, do: "send", request: "save-1", via: "entry-1" },
    {
      once: { request: "save-1", is: "dispatched" },
      do: "kill",
      hosts: ["entry-1"],
    },
    { at: 500, do: "send", request: "save-1", via: "entry-2" },
    { at: 12_000, do: "send", request: "save-1", via: "entry-3" },
  ],
  expect: { "save-1": { ends: ["unknown"], dispatches: 1 } },
};
