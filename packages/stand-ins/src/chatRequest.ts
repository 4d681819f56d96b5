import { Buffer } from "node:buffer";
import { estimateTokens, prefixDigests } from "@wasabivane/common";
import { type ChatMessage, promptText } from "@wasabivane/engine-model";
import type { CompletionRequest } from "./engineResponse.ts";

/** A chat completions call. */
export interface ChatRequest extends CompletionRequest {
  readonly shouldStream: boolean;
}

/** Reads a chat completions body; `undefined` when it has no model or messages. */
export function parseChatRequest(
  body: Record<string, unknown>,
  nonce: string,
): ChatRequest | undefined {
  const { model, messages, cache_salt: salt } = body;
  if (typeof model !== "string" || !areMessages(messages)) return undefined;
  const prompt = promptText(messages);
  const maximum = body["max_completion_tokens"] ?? body["max_tokens"];
  return {
    nonce,
    model,
    prompt,
    promptTokens: estimateTokens(Buffer.byteLength(prompt)),
    prefixDigests: prefixDigests(typeof salt === "string" ? salt : "", prompt),
    maximumTokens: typeof maximum === "number" ? maximum : Infinity,
    shouldStream: body["stream"] === true,
  };
}

function areMessages(value: unknown): value is ChatMessage[] {
  return Array.isArray(value) && value.length > 0 &&
    value.every((message) => typeof message === "object" && message !== null);
}
