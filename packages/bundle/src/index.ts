export * from "./platform.ts";
export * from "./schema.ts";
export * from "./signedBundle.ts";
