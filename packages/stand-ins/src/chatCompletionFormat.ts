import type { EngineResponse } from "./engineResponse.ts";

/** Response of an engine with the metadata that each of its events repeats. */
export interface SentResponse {
  readonly engineResponse: EngineResponse;
  /** Nonce in ids and header; the `wrong-nonce` fault changes it. */
  readonly nonce: string;
  readonly createdSeconds: number;
}

/** Event that ends a stream. */
export const DONE_EVENT = "data: [DONE]\n\n";

/** Creates the first event of a stream, which holds no token. */
export function createRoleEvent(response: SentResponse): string {
  return createChunkEvent(response, { role: "assistant", content: "" });
}

/** Creates one event for each token from `start` (inclusive) to `end`. */
export function createTokenEvents(
  response: SentResponse,
  { start, end }: { start: number; end: number },
): string {
  // Serializes the chunk only once, since this dominates the cost of a stream.
  const [prefix, suffix] = createChunkEvent(response, { content: "\0" }).split(
    "\\u0000",
  );
  let events = "";
  for (let index = start; index < end; index++) {
    events += prefix + response.engineResponse.tokenAt(index) + suffix;
  }
  return events;
}

/** Creates the last chunk of a stream, with finish reason and usage. */
export function createFinishEvent(response: SentResponse): string {
  const finishReason = finishReasonOf(response.engineResponse);
  return serializeEvent({
    ...createEnvelope(response, "chat.completion.chunk"),
    choices: [{ index: 0, delta: {}, finish_reason: finishReason }],
    usage: usageOf(response.engineResponse),
  });
}

/** Creates the body of a response that is not streamed. */
export function createResponseBody(response: SentResponse): string {
  const { engineResponse } = response;
  let content = "";
  for (let index = 0; index < engineResponse.generatedTokens; index++) {
    content += engineResponse.tokenAt(index);
  }
  return JSON.stringify({
    ...createEnvelope(response, "chat.completion"),
    choices: [{
      index: 0,
      message: { role: "assistant", content },
      finish_reason: finishReasonOf(engineResponse),
    }],
    usage: usageOf(engineResponse),
  });
}

function createChunkEvent(
  response: SentResponse,
  delta: { role?: string; content: string },
): string {
  return serializeEvent({
    ...createEnvelope(response, "chat.completion.chunk"),
    choices: [{ index: 0, delta, finish_reason: null }],
  });
}

function createEnvelope(
  { nonce, createdSeconds, engineResponse }: SentResponse,
  object: string,
): Record<string, unknown> {
  const { model } = engineResponse.request;
  return { id: `chatcmpl-${nonce}`, object, created: createdSeconds, model };
}

function usageOf(engineResponse: EngineResponse): Record<string, unknown> {
  const { promptTokens } = engineResponse.request;
  return {
    prompt_tokens: promptTokens,
    completion_tokens: engineResponse.generatedTokens,
    total_tokens: promptTokens + engineResponse.generatedTokens,
    prompt_tokens_details: { cached_tokens: engineResponse.cachedTokens },
  };
}

function finishReasonOf({ isLengthLimited }: EngineResponse): string {
  return isLengthLimited ? "length" : "stop";
}

function serializeEvent(chunk: Record<string, unknown>): string {
  return `data: ${JSON.stringify(chunk)}\n\n`;
}
