import { Buffer } from "node:buffer";
import { createHash } from "node:crypto";
import { err, ok, type Result } from "neverthrow";
import { z } from "zod";
import type { Bundle, ClientAccount, Service } from "@wasabivane/bundle";
import {
  asTier,
  type Digest,
  estimateTokens,
  type IdempotencyKey,
  type Milliseconds,
  prefixDigests,
  type RequestId,
  type Tier,
} from "@wasabivane/common";
import type { AcceptedRequest } from "./acceptedRequest.ts";
import {
  CHAT_PATH,
  DEADLINE_HEADER,
  IDEMPOTENCY_KEY_HEADER,
  TIER_HEADER,
} from "./constants.ts";
import { type Problem, problemOf } from "./problem.ts";

const MAX_KEY_LENGTH = 256;
const DEFAULT_OUTPUT_TOKENS = 1024;
const FINGERPRINT_CHARACTERS = 32;
const KEY_PATTERN = /^[\x21-\x7e]+$/;

const contentPart = z.looseObject({
  type: z.string(),
  text: z.string().optional(),
});
const chatBody = z.looseObject({
  model: z.string().min(1).max(128),
  messages: z.array(z.looseObject({
    role: z.string().max(32),
    content: z.union([z.string(), z.array(contentPart).max(1024), z.null()])
      .optional(),
  })).min(1).max(4096),
  stream: z.boolean().optional(),
  max_tokens: z.number().int().min(1).max(1_000_000).optional(),
  max_completion_tokens: z.number().int().min(1).max(1_000_000).optional(),
});

/** The body of a chat completions request. */
export type ChatBody = z.infer<typeof chatBody>;

/** A request as received, with its authenticated account. */
export interface IncomingRequest {
  readonly request: RequestId;
  readonly bundle: Bundle;
  readonly account: ClientAccount;
  readonly now: Milliseconds;
  /** The earliest time at which it can have arrived; `now` by default. */
  readonly arrivedAt?: Milliseconds;
  readonly method: string;
  /** Path and query. */
  readonly path: string;
  readonly headers: Readonly<Record<string, string | string[] | undefined>>;
  readonly body: Buffer;
}

/**
 * Validates a request against the bundle and extracts what scheduling needs.
 */
export function acceptRequest(
  incoming: IncomingRequest,
): Result<AcceptedRequest, Problem> {
  const headersCheck = rejectRepeatedHeaders(incoming.headers);
  if (headersCheck.isErr()) return err(headersCheck.error);
  const isChat = incoming.path.split("?", 1)[0] === CHAT_PATH;
  return isChat ? acceptChat(incoming) : acceptPlain(incoming);
}

function acceptChat(
  incoming: IncomingRequest,
): Result<AcceptedRequest, Problem> {
  if (incoming.method !== "POST") {
    return err(malformed("Chat completions are asked for with POST"));
  }
  const text = decodeUtf8(incoming.body);
  if (text === undefined) return err(malformed("The body is not valid UTF-8"));
  return parseJson(text).andThen(checkChat).andThen((chat) => {
    const service = incoming.bundle.services.find(({ models }) =>
      models.includes(chat.model)
    );
    if (service === undefined) return err(problemOf("unknown-model"));
    return acceptForService(incoming, service).map((common) =>
      addChatDetails(common, chat)
    );
  });
}

function acceptPlain(
  incoming: IncomingRequest,
): Result<AcceptedRequest, Problem> {
  const service = incoming.bundle.services.find(({ pathPrefix }) =>
    hasPrefix(incoming.path, pathPrefix)
  );
  if (service === undefined) return err(problemOf("unknown-path"));
  return acceptForService(incoming, service);
}

function acceptForService(
  incoming: IncomingRequest,
  service: Service,
): Result<AcceptedRequest, Problem> {
  const { account, bundle, headers, body, now } = incoming;
  if (!account.services.includes(service.service)) {
    return err(problemOf("service-not-allowed"));
  }
  const tier = readTier(headers, account);
  if (tier.isErr()) return err(tier.error);
  const timeout = readDeadline(headers, { bundle, tier: tier.value });
  if (timeout.isErr()) return err(timeout.error);
  const key = readKey(headers);
  if (key.isErr()) return err(key.error);
  const isIdempotent = service.kind === "model" ||
    service.idempotentMethods.some((method) => method === incoming.method);
  return ok({
    requestId: incoming.request,
    bundle,
    account,
    service,
    tier: tier.value,
    idempotencyKey: key.value,
    isIdempotent,
    acceptedAt: now,
    arrivedAt: incoming.arrivedAt ?? now,
    deadline: now + timeout.value,
    method: incoming.method,
    path: incoming.path,
    headers: forwardedHeaders(headers),
    body,
    shouldStream: false,
    promptTokens: estimateTokens(body.byteLength),
    maximumOutputTokens: 1,
    prefixDigests: [],
    fingerprint: fingerprintOf(incoming, service),
  });
}

function addChatDetails(
  request: AcceptedRequest,
  chat: ChatBody,
): AcceptedRequest {
  const salt = request.account.account;
  const prompt = promptOf(chat);
  return {
    ...request,
    // Engines share cached prefixes only under equal salts, so that an account
    // cannot detect another's prompts by their response times.
    body: Buffer.from(JSON.stringify({ ...chat, cache_salt: salt })),
    shouldStream: chat.stream ?? false,
    promptTokens: estimateTokens(Buffer.byteLength(prompt)),
    maximumOutputTokens: chat.max_completion_tokens ?? chat.max_tokens ??
      DEFAULT_OUTPUT_TOKENS,
    prefixDigests: prefixDigests(salt, prompt),
  };
}

/** Joins the text of all messages into one prompt. */
export function promptOf(chat: ChatBody): string {
  return chat.messages.map(({ content }) => textOf(content)).join("\n");
}

function textOf(content: ChatBody["messages"][number]["content"]): string {
  if (typeof content === "string") return content;
  return (content ?? []).map(({ text }) => text ?? "").join("");
}

function rejectRepeatedHeaders(
  headers: IncomingRequest["headers"],
): Result<void, Problem> {
  for (const name of [IDEMPOTENCY_KEY_HEADER, DEADLINE_HEADER, TIER_HEADER]) {
    const value = headers[name];
    // Node.js joins repeated headers with commas; valid values contain none.
    if (Array.isArray(value) || value?.includes(",")) {
      return err(malformed(`The header ${name} must stand once`));
    }
  }
  return ok();
}

function readTier(
  headers: IncomingRequest["headers"],
  account: ClientAccount,
): Result<Tier, Problem> {
  const value = headers[TIER_HEADER];
  if (value === undefined) return ok(account.defaultTier);
  if (!/^[1-9]$/.test(String(value))) {
    return err(malformed(`The header ${TIER_HEADER} must be 1 to 9`));
  }
  const tier = asTier(Number(value));
  return account.tiers.includes(tier)
    ? ok(tier)
    : err(problemOf("tier-not-allowed"));
}

function readDeadline(
  headers: IncomingRequest["headers"],
  { bundle, tier }: { bundle: Bundle; tier: Tier },
): Result<Milliseconds, Problem> {
  const value = headers[DEADLINE_HEADER];
  const policy = bundle.tiers.find((candidate) => candidate.tier === tier);
  if (policy === undefined) return err(problemOf("tier-not-allowed"));
  if (value === undefined) return ok(policy.deadlineMs);
  if (!/^[0-9]{1,8}$/.test(String(value))) {
    return err(
      malformed(`The header ${DEADLINE_HEADER} must be whole milliseconds`),
    );
  }
  return ok(Math.min(Number(value), policy.deadlineMs));
}

function readKey(
  headers: IncomingRequest["headers"],
): Result<IdempotencyKey | undefined, Problem> {
  const value = headers[IDEMPOTENCY_KEY_HEADER];
  if (value === undefined) return ok(undefined);
  const key = String(value);
  if (key.length > MAX_KEY_LENGTH || !KEY_PATTERN.test(key)) {
    return err(problemOf("key-malformed"));
  }
  return ok(key as IdempotencyKey);
}

const FORWARDED_HEADERS = [
  "content-type",
  "accept",
  "accept-language",
  "if-match",
  "if-none-match",
  "user-agent",
];

function forwardedHeaders(
  headers: IncomingRequest["headers"],
): Record<string, string> {
  const forwarded: Record<string, string> = {};
  for (const name of FORWARDED_HEADERS) {
    const value = headers[name];
    if (typeof value === "string") forwarded[name] = value;
  }
  return forwarded;
}

function fingerprintOf(
  { account, method, path, body }: IncomingRequest,
  service: Service,
): Digest {
  const hash = createHash("sha256");
  for (const part of [account.account, service.service, method, path]) {
    hash.update(part).update("\0");
  }
  return hash.update(body).digest("hex").slice(
    0,
    FINGERPRINT_CHARACTERS,
  ) as Digest;
}

function hasPrefix(path: string, prefix: string | undefined): boolean {
  if (prefix === undefined) return false;
  return path === prefix || path.startsWith(`${prefix}/`) ||
    path.startsWith(`${prefix}?`);
}

function decodeUtf8(body: Buffer): string | undefined {
  try {
    return new TextDecoder("utf-8", { fatal: true }).decode(body);
  } catch {
    return undefined;
  }
}

function parseJson(text: string): Result<unknown, Problem> {
  try {
    return ok(JSON.parse(text));
  } catch {
    return err(malformed("The body is not valid JSON"));
  }
}

function checkChat(value: unknown): Result<ChatBody, Problem> {
  const parsed = chatBody.safeParse(value);
  if (parsed.success) return ok(parsed.data);
  const [issue] = parsed.error.issues;
  return err(
    malformed(
      `${issue?.path.join(".") || "body"}: ${issue?.message ?? "not valid"}`,
    ),
  );
}

function malformed(detail: string): Problem {
  return problemOf("malformed-request", { detail });
}
