export * from "./engineModel.ts";
export * from "./expectedResponse.ts";
export * from "./hardwareGenerations.ts";
export { TOKENS_PER_BLOCK } from "./kvMemory.ts";
export * from "./types.ts";
