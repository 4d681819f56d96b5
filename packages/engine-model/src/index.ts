export * from "./engineModel.ts";
export * from "./expectedAnswer.ts";
export * from "./generations.ts";
export { BLOCK_TOKENS } from "./kvMemory.ts";
export * from "./types.ts";
