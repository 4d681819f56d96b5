export * from "./deployment.ts";
export * from "./engineStandIn.ts";
export { POISON_MARK } from "./engineHost.ts";
export * from "./httpStandIn.ts";
export * from "./plainStandIn.ts";
export * from "./platformStandIn.ts";
export type { PublishedMode } from "./publishedValue.ts";
export * from "./settings.ts";
export * from "./startStandIns.ts";
