/** An entry host for requests that are passed on unchanged, beside peers that tell each other their load. */
export * from "./dialect.ts";
export * from "./headers.ts";
export {
  DecisionLog,
  LOG_EVENTS,
  type LogEvent,
  type LogOutput,
  type LogValues,
} from "./decisionLog.ts";
export { EventFrames } from "./eventFrames.ts";
export { Gateway } from "./gateway.ts";
export type { GatewayAddresses, GatewayOptions } from "./gatewayOptions.ts";
export { FleetTalk } from "./fleetTalk.ts";
export type { GatewayContext } from "./gatewayContext.ts";
export { GatewayMetrics } from "./gatewayMetrics.ts";
export { PeerBook } from "./peerBook.ts";
export { splitAddress } from "./peerChannel.ts";
export {
  decodeMessage,
  encodeMessage,
  type PeerMessage,
} from "./peerMessage.ts";
export type { PeerMention, PeerWord, UpstreamListChange } from "./peerWord.ts";
export { PolicyState } from "./policyState.ts";
export type { Belief, FetchError, KnownBelief } from "./operatorPages.ts";
export { askBelief } from "./operatorPages.ts";
export { StoreSharing, type StoreSharingOptions } from "./storeSharing.ts";
export { StandardOutput } from "./standardOutput.ts";
