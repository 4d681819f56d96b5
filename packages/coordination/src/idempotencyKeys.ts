import { Buffer } from "node:buffer";
import { createHmac, timingSafeEqual } from "node:crypto";
import type {
  ClientAccountId,
  EpochMilliseconds,
  HostId,
  IdempotencyKey,
  Incarnation,
  Milliseconds,
  Random,
} from "@wasabivane/common";
import { err, ok, type Result } from "neverthrow";

/** By how much a caller's clock may be ahead of an entry host's. */
export const MAX_CALLER_CLOCK_SKEW_MS: Milliseconds = 2_000;
/** By how much the wall clocks of two entry hosts may differ. */
export const MAX_HOST_CLOCK_SKEW_MS: Milliseconds = 500;
/** How long a key of a request that waits for its answer is valid. */
export const KEY_LIFETIME_MS: Milliseconds = 15 * 60_000;
/** How long a key of a job is valid. */
export const JOB_KEY_LIFETIME_MS: Milliseconds = 24 * 3_600_000;

/** A key that one process incarnation minted and alone decides about. */
export interface Ticket {
  readonly kind: "ticket";
  readonly host: HostId;
  readonly incarnation: Incarnation;
  readonly issuedAt: EpochMilliseconds;
}

/** A key that the caller made; a UUIDv7 tells when. */
export interface BareKey {
  readonly kind: "bare";
  readonly issuedAt: EpochMilliseconds;
}

/** An idempotency key as understood. */
export type ParsedKey = Ticket | BareKey;

/** Why a text is no key that any host takes. */
export type KeyError =
  /** Neither a ticket nor a UUIDv7: every host refuses it, so it never ran. */
  | { readonly kind: "malformed" }
  /** A ticket that this host cannot authenticate; another might have. */
  | { readonly kind: "unauthenticated" };

const TICKET_FORMAT = "t1";
const TICKET_FIELDS = 6;
const TICKET_CHANCE_BYTES = 12;
const MAX_KEY_LENGTH = 512;
const UUID_V7 =
  /^[0-9a-f]{8}-[0-9a-f]{4}-7[0-9a-f]{3}-[89ab][0-9a-f]{3}-[0-9a-f]{12}$/i;
const UUID_TIME_DIGITS = 12;

/** What a ticket is minted from. */
export interface TicketOptions {
  readonly host: HostId;
  readonly incarnation: Incarnation;
  readonly account: ClientAccountId;
  readonly issuedAt: EpochMilliseconds;
  readonly random: Random;
  readonly secret: string;
}

/** Mints a key that only this incarnation decides about, so that no view of the membership matters. */
export function mintTicket(options: TicketOptions): IdempotencyKey {
  const { host, incarnation, issuedAt, random, account, secret } = options;
  const claims = [
    TICKET_FORMAT,
    encodeField(host),
    encodeField(incarnation),
    String(Math.floor(issuedAt)),
    random.hex(TICKET_CHANCE_BYTES),
  ].join(".");
  return `${claims}.${
    ticketMac(secret, { account, claims })
  }` as IdempotencyKey;
}

/** Understands a caller's key; tickets of another client account do not authenticate. */
export function parseKey(
  key: string,
  options: { account: ClientAccountId; secrets: readonly string[] },
): Result<ParsedKey, KeyError> {
  if (key.length > MAX_KEY_LENGTH) return err({ kind: "malformed" });
  if (UUID_V7.test(key)) return ok({ kind: "bare", issuedAt: uuidTime(key) });
  const fields = key.split(".");
  const isTicket = fields.length === TICKET_FIELDS &&
    fields[0] === TICKET_FORMAT;
  return isTicket ? parseTicket(key, options) : err({ kind: "malformed" });
}

/** The same key for every spelling, so that case cannot make two of one. */
export function canonicalKey(key: IdempotencyKey): IdempotencyKey {
  return UUID_V7.test(key) ? key.toLowerCase() as IdempotencyKey : key;
}

function parseTicket(
  key: string,
  options: { account: ClientAccountId; secrets: readonly string[] },
): Result<Ticket, KeyError> {
  const { account, secrets } = options;
  const end = key.lastIndexOf(".");
  const claims = key.slice(0, end);
  const given = Buffer.from(key.slice(end + 1));
  const isAuthentic = secrets.some((secret) => {
    const expected = Buffer.from(ticketMac(secret, { account, claims }));
    return given.length === expected.length && timingSafeEqual(given, expected);
  });
  if (!isAuthentic) return err({ kind: "unauthenticated" });
  const [, host, incarnation, issuedAt] = claims.split(".");
  return ok({
    kind: "ticket",
    host: decodeURIComponent(host!) as HostId,
    incarnation: decodeURIComponent(incarnation!) as Incarnation,
    issuedAt: Number(issuedAt),
  });
}

function ticketMac(
  secret: string,
  { account, claims }: { account: ClientAccountId; claims: string },
): string {
  return createHmac("sha256", secret)
    .update("wasabivane-ticket\0").update(account).update("\0").update(claims)
    .digest("base64url");
}

function encodeField(text: string): string {
  return encodeURIComponent(text).replaceAll(".", "%2E");
}

function uuidTime(key: string): EpochMilliseconds {
  return parseInt(key.replaceAll("-", "").slice(0, UUID_TIME_DIGITS), 16);
}
