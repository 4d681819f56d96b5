export * from "./attempt.ts";
export * from "./callBody.ts";
export * from "./loadReport.ts";
export * from "./pattern.ts";
export * from "./plan.ts";
export * from "./problemDocument.ts";
export * from "./runLoad.ts";
export * from "./uuidV7.ts";
