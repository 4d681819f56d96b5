export * from "./entryClient.ts";
export * from "./fleet.ts";
export * from "./program.ts";
