import type { FaultScenario } from "@wasabivane/proof";

// Guards against a second run of a save whose owner is killed after the
// dispatch. Only the owner knew the dispatch, so the outcome is unknown.
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
