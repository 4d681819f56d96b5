import { WaitQueue } from "@wasabivane/decisions";
import { buildPlacementRequest } from "./buildPlacementRequest.ts";

const queue = new WaitQueue({ maximumTokens: 10_000, maximumBytes: 1_000_000 });
const details = {
  now: 0,
  expectedTokens: 500,
  expectedMs: 900,
  costMs: 90,
  latestStart: 5_000,
};
queue.push(buildPlacementRequest("overnight review", { tier: 4 }), details);
queue.push(buildPlacementRequest("live draft", { tier: 1 }), details);

/** The request of the more urgent tier leaves the queue first. */
export const result = queue.take(() => "start")?.placementRequest.request;
