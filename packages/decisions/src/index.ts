export * from "./firstComeScheduler.ts";
export * from "./leastOutstandingScheduler.ts";
export * from "./scheduler.ts";
export * from "./types.ts";
