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

/** A completion as its caller received it. */
export interface ChatResponse {
  readonly status: number;
  readonly text: string;
  readonly content: string;
  /** Whether a completion was received to its end. */
  readonly isComplete: boolean;
  /** The problem document of the response or of the stream's error event. */
  readonly problem: Readonly<Record<string, unknown>> | undefined;
}

/** Requests a completion; resolves at the head of the response. */
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

/** Requests a completion and reads the response to its end. */
export async function sendChat(
  fixture: Pick<EntryFixture, "callerUrl">,
  options: ChatOptions,
): Promise<ChatResponse> {
  const response = await openChat(fixture, options);
  return parseChatResponse(response.status, await response.text());
}

/** Parses the response to a chat request, streamed or not. */
export function parseChatResponse(status: number, text: string): ChatResponse {
  if (!text.startsWith("data: ")) {
    const body = JSON.parse(text);
    const content = body.choices?.[0].message.content ?? "";
    const isComplete = body.choices !== undefined;
    return {
      status,
      text,
      content,
      isComplete,
      problem: isComplete ? undefined : body,
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
