import type { FaultScenario } from "@wasabivane/proof";

// Guards against a poison request that is resent through all hosts taking down
// the whole pool.
export const POISON_RESENT_THROUGH_ALL_HOSTS: FaultScenario = {
  name: "poisonResentThroughAllHosts",
  requests: Object.fromEntries([
    ...Array.from(
      { length: 12 },
      (_, index) => [
        `poison-${index}`,
        { kind: "draft", hasKey: false, isPoison: true },
      ],
    ),
    ["draft-1", { kind: "draft", hasKey: false }],
  ]),
  story: [
    ...Array.from({ length: 12 }, (_, index) =>
      ({
        at: index * 800,
        do: "send",
        request: `poison-${index}`,
        via: `entry-${1 + index % 4}`,
      }) as const),
    { at: 12_000, do: "send", request: "draft-1", via: "entry-2" },
  ],
  expect: { "draft-1": { ends: ["whole"], dispatches: 1 } },
};
