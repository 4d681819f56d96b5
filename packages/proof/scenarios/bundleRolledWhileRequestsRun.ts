import type { FaultScenario } from "@wasabivane/proof";

// Guards against requests lost or hosts going back a version while two bundles
// are published in a row and one host cannot read the platform.
export const BUNDLE_ROLLED_WHILE_REQUESTS_RUN: FaultScenario = {
  name: "bundleRolledWhileRequestsRun",
  concurrency: 1,
  requests: Object.fromEntries(
    ["1", "2", "3", "4", "5", "6"].map((number) => [
      `draft-${number}`,
      { kind: "draft", tokens: 60 },
    ]),
  ),
  story: [
    ...["1", "2", "3", "4", "5", "6"].map((number, index) =>
      ({
        at: index * 100,
        do: "send",
        request: `draft-${number}`,
        via: `entry-${1 + index % 4}`,
      }) as const
    ),
    { at: 900, do: "platform", state: "down", hosts: ["entry-2"] },
    { at: 1_000, do: "roll", version: 2 },
    { at: 1_400, do: "roll", version: 3 },
  ],
  expect: Object.fromEntries(
    ["1", "2", "3", "4", "5", "6"].map((number) => [
      `draft-${number}`,
      { ends: ["whole"], dispatches: 1 },
    ]),
  ),
};
