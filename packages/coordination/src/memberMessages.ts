import type {
  FailureDomain,
  HostId,
  Incarnation,
  Random,
  Timer,
} from "@wasabivane/common";
import {
  isAnything,
  isBoolean,
  listOf,
  numberOf,
  objectOf,
  oneOf,
  optional,
  type Shape,
  textOf,
} from "./messageShapes.ts";
import { defineMessage, type MessageKind } from "./peerMessages.ts";

/** Liveness of a host: a silent host becomes suspect first, then dead. */
export type MemberState = "alive" | "suspect" | "dead";

/** Describes an entry host as known to this host. */
export interface Member {
  readonly host: HostId;
  readonly incarnation: Incarnation;
  readonly state: MemberState;
  readonly failureDomain: FailureDomain;
  /** Address of the peer port, `ip:port`. */
  readonly peerAddress: string;
  readonly isLeaving: boolean;
}

/** Reports the state of a host, sent by the host itself or by another one. */
export interface MemberUpdate extends Member {
  /**
   * Incremented with each heartbeat of the incarnation; orders its own updates.
   */
  readonly sequence: number;
  /** Incremented with each refutation; orders updates sent by other hosts. */
  readonly revision: number;
}

/** Sent periodically by each host. */
export interface Heartbeat {
  readonly sender: MemberUpdate;
  /** Whether the recipient will receive another heartbeat next period. */
  readonly isRegular: boolean;
  /** Whether the recipient should reply with a heartbeat. */
  readonly isProbe?: boolean;
  /** Recent changes, for hosts that the gossip missed. */
  readonly news?: readonly MemberUpdate[];
  /** Values that other controllers piggyback, by name. */
  readonly extras?: Readonly<Record<string, unknown>>;
}

/** Changes that the sender detected or received. */
export interface MemberUpdateMessage {
  readonly news: readonly MemberUpdate[];
  /** Whether the sender has just started and requests all members. */
  readonly wantsAll?: boolean;
}

const MAX_NAME_LENGTH = 128;
const MAX_UPDATES = 4096;

const updateShape: Shape<MemberUpdate> = objectOf({
  host: textOf<HostId>(MAX_NAME_LENGTH),
  incarnation: textOf<Incarnation>(MAX_NAME_LENGTH),
  state: oneOf<MemberState>("alive", "suspect", "dead"),
  failureDomain: textOf<FailureDomain>(MAX_NAME_LENGTH),
  peerAddress: textOf<string>(MAX_NAME_LENGTH),
  isLeaving: isBoolean,
  sequence: numberOf<number>(),
  revision: numberOf<number>(),
});

function isExtras(value: unknown): value is Readonly<Record<string, unknown>> {
  return typeof value === "object" && value !== null && isAnything(value);
}

/** See {@link Heartbeat}. */
export const HEARTBEAT: MessageKind<Heartbeat> = defineMessage<Heartbeat>(
  "heartbeat",
  objectOf({
    sender: updateShape,
    isRegular: isBoolean,
    isProbe: optional(isBoolean),
    news: optional(listOf(updateShape, MAX_UPDATES)),
    extras: optional(isExtras),
  }),
);
/** See {@link MemberUpdateMessage}. */
export const MEMBER_UPDATE: MessageKind<MemberUpdateMessage> = defineMessage<
  MemberUpdateMessage
>(
  "member-news",
  objectOf({
    news: listOf(updateShape, MAX_UPDATES),
    wantsAll: optional(isBoolean),
  }),
);

const TIMESTAMP_RADIX = 36;
const TIMESTAMP_DIGITS = 9;
const RANDOM_BYTES = 6;

/**
 * Creates an incarnation. Incarnations of one host sort by start time unless
 * its clock steps back.
 */
export function createIncarnation(timer: Timer, random: Random): Incarnation {
  const start = Math.floor(timer.wallNow()).toString(TIMESTAMP_RADIX);
  const text = start.padStart(TIMESTAMP_DIGITS, "0") + random.hex(RANDOM_BYTES);
  return text as Incarnation;
}
