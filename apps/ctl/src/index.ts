export * from "./entryClient.ts";
export * from "./fleetStatus.ts";
export * from "./program.ts";
export * from "./logLines.ts";
export * from "./requestExplanation.ts";
