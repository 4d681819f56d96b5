export * from "./createBundleTemplate.ts";
export * from "./explanation.ts";
export * from "./program.ts";
