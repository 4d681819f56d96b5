export * from "./deployment.ts";
export * from "./engineStandIn.ts";
export { POISON_MARKER } from "./engineRuntime.ts";
export * from "./httpStandIn.ts";
export * from "./plainStandIn.ts";
export * from "./platformStandIn.ts";
export type { PublicationMode } from "./publishedValue.ts";
export * from "./settings.ts";
export * from "./startStandIns.ts";
