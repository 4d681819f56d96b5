import type { FaultScenario } from "@wasabivane/proof";

// Guards against requests run or reported as unknown while the platform is down
// at start, and against hosts that do not recover once it is up.
export const CONFIGURATION_SERVICE_DOWN_AT_START: FaultScenario = {
  name: "configurationServiceDownAtStart",
  platformAtStart: "down",
  requests: {
    "draft-1": { kind: "draft", hasKey: false },
    "draft-2": { kind: "draft", hasKey: false },
  },
  story: [
    { at: 0, do: "send", request: "draft-1", via: "entry-1" },
    { at: 1_000, do: "platform", state: "up" },
    { at: 20_000, do: "send", request: "draft-2", via: "entry-1" },
  ],
  expect: {
    "draft-1": { ends: ["not-run"], dispatches: 0 },
    "draft-2": { ends: ["whole"], dispatches: 1 },
  },
};
