export * from "./poolClient.ts";
export * from "./poolKeeper.ts";
export * from "./poolMembers.ts";
export * from "./poolMessages.ts";
