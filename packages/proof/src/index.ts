export * from "./arrivalPatterns.ts";
export * from "./arrivals.ts";
export * from "./bound.ts";
export * from "./experiment.ts";
export * from "./experimentPolicies.ts";
export * from "./experimentTally.ts";
export * from "./reportTable.ts";
