import type { FaultScenario } from "@wasabivane/proof";

// Guards against new requests at leaving upstreams and against breaking the
// requests that still run there.
export const UPSTREAM_LEAVING: FaultScenario = {
  name: "upstreamLeaving",
  requests: Object.fromEntries([
    ["draft-long", { kind: "draft", tokens: 300 }],
    ...Array.from(
      { length: 8 },
      (_, index) => [`draft-${index}`, { kind: "draft" }],
    ),
  ]),
  story: [
    { at: 0, do: "send", request: "draft-long", via: "entry-1" },
    { at: 1_500, do: "leave", upstreams: ["drafter-01", "drafter-02"] },
    ...Array.from({ length: 8 }, (_, index) =>
      ({
        at: 5_500 + index * 50,
        do: "send",
        request: `draft-${index}`,
        via: `entry-${1 + index % 4}`,
      }) as const),
  ],
  expect: { "draft-long": { ends: ["whole"], dispatches: 1 } },
};
