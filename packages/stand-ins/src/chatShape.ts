import type { EngineAnswer } from "./engineAnswer.ts";

/** What is the same in every part of one answer as it is shown. */
export interface ShownAnswer {
  readonly answer: EngineAnswer;
  /** Nonce in ids and header; a fault may show another than the request's. */
  readonly nonce: string;
  readonly createdSeconds: number;
}

/** The event that ends a stream. */
export const DONE_EVENT = "data: [DONE]\n\n";

/** The first chunk of a stream; it holds no token. */
export function roleEvent(shown: ShownAnswer): string {
  return chunkEvent(shown, { role: "assistant", content: "" });
}

/** The chunks of the tokens from `start` up to `end`, one for each token. */
export function tokenEvents(
  shown: ShownAnswer,
  { start, end }: { start: number; end: number },
): string {
  // Serialized once: fast streams need most of their time for this.
  const [before, after] = chunkEvent(shown, { content: "\0" }).split("\\u0000");
  let events = "";
  for (let index = start; index < end; index++) {
    events += before + shown.answer.token(index) + after;
  }
  return events;
}

/** The last chunk of a stream, with the reason and the usage. */
export function finishEvent(shown: ShownAnswer): string {
  const finishReason = finishReasonOf(shown.answer);
  return eventOf({
    ...envelope(shown, "chat.completion.chunk"),
    choices: [{ index: 0, delta: {}, finish_reason: finishReason }],
    usage: usageOf(shown.answer),
  });
}

/** The body of an answer that is not streamed. */
export function wholeBody(shown: ShownAnswer): string {
  const { answer } = shown;
  let content = "";
  for (let index = 0; index < answer.generated; index++) {
    content += answer.token(index);
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
  shown: ShownAnswer,
  delta: { role?: string; content: string },
): string {
  return eventOf({
    ...envelope(shown, "chat.completion.chunk"),
    choices: [{ index: 0, delta, finish_reason: null }],
  });
}

function envelope(
  { nonce, createdSeconds, answer }: ShownAnswer,
  object: string,
): Record<string, unknown> {
  const { model } = answer.request;
  return { id: `chatcmpl-${nonce}`, object, created: createdSeconds, model };
}

function usageOf(answer: EngineAnswer): Record<string, unknown> {
  const { promptTokens } = answer.request;
  return {
    prompt_tokens: promptTokens,
    completion_tokens: answer.generated,
    total_tokens: promptTokens + answer.generated,
    prompt_tokens_details: { cached_tokens: answer.cachedTokens },
  };
}

function finishReasonOf({ isBounded }: EngineAnswer): string {
  return isBounded ? "length" : "stop";
}

function eventOf(chunk: Record<string, unknown>): string {
  return `data: ${JSON.stringify(chunk)}\n\n`;
}
