export * from "./engineModel.ts";
export * from "./generations.ts";
export * from "./types.ts";
