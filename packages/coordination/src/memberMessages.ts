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

/** Whether a host answers: silence makes it suspect first, dead later. */
export type MemberState = "alive" | "suspect" | "dead";

/** An entry host as this one knows it. */
export interface Member {
  readonly host: HostId;
  readonly incarnation: Incarnation;
  readonly state: MemberState;
  readonly failureDomain: FailureDomain;
  /** Address of the peer port, `ip:port`. */
  readonly peerAddress: string;
  readonly isLeaving: boolean;
}

/** What one host says about another, or about itself. */
export interface MemberUpdate extends Member {
  /** Counts the words of that incarnation; orders what it says itself. */
  readonly sequence: number;
  /** Counts its denials of being silent; orders what others say of it. */
  readonly revision: number;
}

/** Sent by a host once a period. */
export interface Heartbeat {
  readonly sender: MemberUpdate;
  /** The receiver may expect the next one after a period. */
  readonly isRegular: boolean;
  /** The receiver shall answer with a heartbeat of its own. */
  readonly isProbe?: boolean;
  /** Changes of the last seconds, for hosts that the first telling missed. */
  readonly news?: readonly MemberUpdate[];
  /** Small values that other controllers spread. */
  readonly extras?: Readonly<Record<string, unknown>>;
}

/** Changes that the sender saw or heard of. */
export interface MemberUpdateMessage {
  readonly news: readonly MemberUpdate[];
  /** The sender is new and wants to hear of all members. */
  readonly wantsAll?: boolean;
}

const NAME_LENGTH = 128;
const MAX_NEWS = 4096;

const newsShape: Shape<MemberUpdate> = objectOf({
  host: textOf<HostId>(NAME_LENGTH),
  incarnation: textOf<Incarnation>(NAME_LENGTH),
  state: oneOf<MemberState>("alive", "suspect", "dead"),
  failureDomain: textOf<FailureDomain>(NAME_LENGTH),
  peerAddress: textOf<string>(NAME_LENGTH),
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
    sender: newsShape,
    isRegular: isBoolean,
    isProbe: optional(isBoolean),
    news: optional(listOf(newsShape, MAX_NEWS)),
    extras: optional(isExtras),
  }),
);
/** See {@link MemberUpdateMessage}. */
export const MEMBER_UPDATE: MessageKind<MemberUpdateMessage> = defineMessage<
  MemberUpdateMessage
>(
  "member-news",
  objectOf({
    news: listOf(newsShape, MAX_NEWS),
    wantsAll: optional(isBoolean),
  }),
);

const BASE = 36;
const TIME_DIGITS = 9;
const CHANCE_BYTES = 6;

/** A new incarnation; those of one host sort by their start where its clock does not step back. */
export function createIncarnation(timer: Timer, random: Random): Incarnation {
  const start = Math.floor(timer.wallNow()).toString(BASE);
  const text = start.padStart(TIME_DIGITS, "0") + random.hex(CHANCE_BYTES);
  return text as Incarnation;
}
