import { Buffer } from "node:buffer";
import { estimateTokens, prefixDigests } from "@wasabivane/common";
import { type ChatMessage, promptText } from "@wasabivane/engine-model";
import type { CompletionRequest } from "./engineResponse.ts";

/** Chat completions request. */
export interface ChatRequest extends CompletionRequest {
  readonly shouldStream: boolean;
}

/** Parses a chat completions body; `undefined` without a model or messages. */
export function parseChatRequest(
  body: Record<string, unknown>,
  nonce: string,
): ChatRequest | undefined {
  const { model, messages, cache_salt: salt } = body;
  if (typeof model !== "string" || !isMessageArray(messages)) return undefined;
  const prompt = promptText(messages);
  const maximumTokens = body["max_completion_tokens"] ?? body["max_tokens"];
  return {
    nonce,
    model,
    prompt,
    promptTokens: estimateTokens(Buffer.byteLength(prompt)),
    prefixDigests: prefixDigests(typeof salt === "string" ? salt : "", prompt),
    maximumTokens: typeof maximumTokens === "number" ? maximumTokens : Infinity,
    shouldStream: body["stream"] === true,
  };
}

function isMessageArray(value: unknown): value is ChatMessage[] {
  return Array.isArray(value) && value.length > 0 &&
    value.every((message) => typeof message === "object" && message !== null);
}
