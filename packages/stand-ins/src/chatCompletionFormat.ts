import type { EngineResponse } from "./engineResponse.ts";

/** What is the same in every part of one answer as it is shown. */
export interface SentResponse {
  readonly response: EngineResponse;
  /** Nonce in ids and header; a fault may show another than the request's. */
  readonly nonce: string;
  readonly createdSeconds: number;
}

/** The event that ends a stream. */
export const DONE_EVENT = "data: [DONE]\n\n";

/** The first chunk of a stream; it holds no token. */
export function createRoleEvent(shown: SentResponse): string {
  return chunkEvent(shown, { role: "assistant", content: "" });
}

/** The chunks of the tokens from `start` up to `end`, one for each token. */
export function createTokenEvents(
  shown: SentResponse,
  { start, end }: { start: number; end: number },
): string {
  // Serialized once: fast streams need most of their time for this.
  const [before, after] = chunkEvent(shown, { content: "\0" }).split("\\u0000");
  let events = "";
  for (let index = start; index < end; index++) {
    events += before + shown.response.tokenAt(index) + after;
  }
  return events;
}

/** The last chunk of a stream, with the reason and the usage. */
export function createFinishEvent(shown: SentResponse): string {
  const finishReason = finishReasonOf(shown.response);
  return eventOf({
    ...envelope(shown, "chat.completion.chunk"),
    choices: [{ index: 0, delta: {}, finish_reason: finishReason }],
    usage: usageOf(shown.response),
  });
}

/** The body of an answer that is not streamed. */
export function createResponseBody(shown: SentResponse): string {
  const { response: answer } = shown;
  let content = "";
  for (let index = 0; index < answer.generatedTokens; index++) {
    content += answer.tokenAt(index);
  }
  return JSON.stringify({
    ...envelope(shown, "chat.completion"),
    choices: [{
      index: 0,
      message: { role: "assistant", content },
      finish_reason: finishReasonOf(answer),
    }],
    usage: usageOf(answer),
  });
}

function chunkEvent(
  shown: SentResponse,
  delta: { role?: string; content: string },
): string {
  return eventOf({
    ...envelope(shown, "chat.completion.chunk"),
    choices: [{ index: 0, delta, finish_reason: null }],
  });
}

function envelope(
  { nonce, createdSeconds, response: answer }: SentResponse,
  object: string,
): Record<string, unknown> {
  const { model } = answer.request;
  return { id: `chatcmpl-${nonce}`, object, created: createdSeconds, model };
}

function usageOf(answer: EngineResponse): Record<string, unknown> {
  const { promptTokens } = answer.request;
  return {
    prompt_tokens: promptTokens,
    completion_tokens: answer.generatedTokens,
    total_tokens: promptTokens + answer.generatedTokens,
    prompt_tokens_details: { cached_tokens: answer.cachedTokens },
  };
}

function finishReasonOf(
  { isLengthLimited: isBounded }: EngineResponse,
): string {
  return isBounded ? "length" : "stop";
}

function eventOf(chunk: Record<string, unknown>): string {
  return `data: ${JSON.stringify(chunk)}\n\n`;
}
