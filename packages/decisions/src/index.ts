export * from "./scheduler.ts";
export * from "./types.ts";
