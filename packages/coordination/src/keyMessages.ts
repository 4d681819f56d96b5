import type {
  ClientAccountId,
  Digest,
  HostId,
  IdempotencyKey,
  Incarnation,
  Nonce,
  RequestId,
  UpstreamId,
} from "@wasabivane/common";
import type {
  Claim,
  Claimant,
  ClaimReply,
  Dispatch,
  NotRunReason,
  UnknownReason,
} from "./keyClaims.ts";
import {
  anyOf,
  isBoolean,
  numberOf,
  objectOf,
  oneOf,
  optional,
  type Shape,
  textOf,
} from "./messageShapes.ts";
import { defineMessage, type MessageKind } from "./peerMessages.ts";

/**
 * Reports the state of a granted claim to the home; resent until acknowledged.
 */
export interface KeyUpdate {
  readonly account: ClientAccountId;
  readonly key: IdempotencyKey;
  readonly claimId: string;
  readonly state: "dispatched" | "refused" | "finished" | "released";
  /** Orders the updates of one claim and identifies duplicates. */
  readonly sequence: number;
  readonly dispatch?: Dispatch | undefined;
}

/** Body of `key-answer`. */
export interface KeyClaimReply {
  readonly claimId: string;
  readonly answer: ClaimReply;
}

/** Body of `key-update-taken`. */
export interface KeyUpdateAck {
  readonly claimId: string;
  readonly sequence: number;
  /** Whether the key is released and has not been granted to anyone else. */
  readonly isReleased?: boolean | undefined;
}

const claimantShape: Shape<Claimant> = objectOf({
  host: textOf<HostId>(),
  incarnation: textOf<Incarnation>(),
  request: textOf<RequestId>(),
});
const dispatchShape: Shape<Dispatch> = objectOf({
  upstream: textOf<UpstreamId>(),
  nonce: textOf<Nonce>(),
});
const replyShape: Shape<ClaimReply> = anyOf<ClaimReply>(
  objectOf({ kind: oneOf("granted"), attempt: numberOf<number>() }),
  objectOf({
    kind: oneOf("owned-by"),
    owner: claimantShape,
    state: oneOf("waiting", "dispatched", "finished"),
    dispatch: optional(dispatchShape),
  }),
  objectOf({ kind: oneOf("resume-at"), dispatch: dispatchShape }),
  objectOf({ kind: oneOf("mismatch") }),
  objectOf({ kind: oneOf("unknown"), reason: textOf<UnknownReason>() }),
  objectOf({ kind: oneOf("not-run"), reason: textOf<NotRunReason>() }),
);
const keyFields = {
  account: textOf<ClientAccountId>(),
  key: textOf<IdempotencyKey>(),
  claimId: textOf<string>(),
};

/** See {@link Claim}. */
export const KEY_CLAIM: MessageKind<Claim> = defineMessage<Claim>(
  "key-claim",
  objectOf({
    ...keyFields,
    issuedAt: numberOf<number>(),
    lifetimeMs: numberOf<number>(),
    bodyDigest: textOf<Digest>(),
    isIdempotent: isBoolean,
    ageMs: optional(numberOf<number>()),
    claimant: claimantShape,
  }),
);
/** See {@link KeyClaimReply}. */
export const KEY_CLAIM_REPLY: MessageKind<KeyClaimReply> = defineMessage<
  KeyClaimReply
>(
  "key-answer",
  objectOf({ claimId: textOf<string>(), answer: replyShape }),
);
const updateState = oneOf<KeyUpdate["state"]>(
  "dispatched",
  "refused",
  "finished",
  "released",
);
/** See {@link KeyUpdate}. */
export const KEY_UPDATE: MessageKind<KeyUpdate> = defineMessage<KeyUpdate>(
  "key-update",
  objectOf({
    ...keyFields,
    state: updateState,
    sequence: numberOf<number>(),
    dispatch: optional(dispatchShape),
  }),
);
/** See {@link KeyUpdateAck}. */
export const KEY_UPDATE_ACK: MessageKind<KeyUpdateAck> = defineMessage<
  KeyUpdateAck
>(
  "key-update-taken",
  objectOf({
    claimId: textOf<string>(),
    sequence: numberOf<number>(),
    isReleased: optional(isBoolean),
  }),
);
