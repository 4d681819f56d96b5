export * from "./bundleTemplate.ts";
export * from "./explanation.ts";
export * from "./program.ts";
