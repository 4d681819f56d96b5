export * from "./memoryLink.ts";
export * from "./messageShapes.ts";
export * from "./peerMessages.ts";
export * from "./poolClient.ts";
export * from "./poolKeeper.ts";
export * from "./poolMembers.ts";
export * from "./poolMessages.ts";
