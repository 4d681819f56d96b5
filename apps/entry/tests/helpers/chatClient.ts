import type { EntryFixture } from "./entryFixture.ts";
import { bearer } from "./entryFixture.ts";

/** Options of {@link sendChat}. */
export interface ChatOptions {
  readonly prompt: string;
  readonly stream?: boolean;
  readonly account?: string;
  readonly headers?: Readonly<Record<string, string>>;
  readonly signal?: AbortSignal;
}

/** A completion as its caller has it. */
export interface ChatResponse {
  readonly status: number;
  readonly text: string;
  readonly content: string;
  /** Whether the end mark came. */
  readonly isComplete: boolean;
  /** The problem document, of the whole answer or of the stream's error event. */
  readonly problem: Readonly<Record<string, unknown>> | undefined;
}

/** Asks for a completion; resolves at the head of the answer. */
export function openChat(
  { callerUrl }: Pick<EntryFixture, "callerUrl">,
  { prompt, stream = true, account, headers, signal }: ChatOptions,
): Promise<Response> {
  const messages = [{ role: "user", content: prompt }];
  return fetch(`${callerUrl}/v1/chat/completions`, {
    method: "POST",
    headers: { authorization: bearer(account), ...headers },
    body: JSON.stringify({ model: "drafter", messages, stream }),
    ...(signal === undefined ? {} : { signal }),
  });
}

/** Asks for a completion and reads the answer to its end. */
export async function sendChat(
  bench: Pick<EntryFixture, "callerUrl">,
  options: ChatOptions,
): Promise<ChatResponse> {
  const answer = await openChat(bench, options);
  return parseChatResponse(answer.status, await answer.text());
}

/** Reads what a caller got. */
export function parseChatResponse(status: number, text: string): ChatResponse {
  if (!text.startsWith("data: ")) {
    const body = JSON.parse(text);
    const content = body.choices?.[0].message.content ?? "";
    const isWhole = body.choices !== undefined;
    return {
      status,
      text,
      content,
      isComplete: isWhole,
      problem: isWhole ? undefined : body,
    };
  }
  const blocks = text.split("\n\n").filter((block) => block !== "");
  const failed = blocks.find((block) => block.startsWith("event: error\n"));
  const content = blocks
    .filter((block) => block.startsWith("data: {"))
    .map((block) => JSON.parse(block.slice(6)).choices[0].delta.content ?? "");
  return {
    status,
    text,
    content: content.join(""),
    isComplete: blocks.at(-1) === "data: [DONE]",
    problem: failed && JSON.parse(failed.split("data: ")[1]!),
  };
}
