import { expectedResponse } from "@wasabivane/engine-model";
import { type Dispatcher, request } from "undici";
import type { CallRequest } from "./callRequest.ts";
import {
  parseProblemDocument,
  type ProblemDocument,
} from "./problemDocument.ts";
import { ServerSentEventParser } from "./serverSentEventParser.ts";
import type { PlannedCall } from "./planCalls.ts";

/** How one attempt of a call ended, judged by what arrived. */
export type CallOutcome =
  | { readonly kind: "whole" }
  /** The answer ended as if it were whole, but part of it is missing. */
  | { readonly kind: "cut" }
  /** The answer has content that belongs to another call. */
  | { readonly kind: "crossed" }
  | { readonly kind: "problem"; readonly problem: ProblemDocument }
  /** The connection broke; a resend may find out what became of the call. */
  | { readonly kind: "broken"; readonly detail: string };

/** One attempt to send. */
export interface AttemptOptions {
  /** Base url of the entry. */
  readonly entry: string;
  readonly call: PlannedCall;
  readonly request: CallRequest;
  readonly headers: Readonly<Record<string, string>>;
  readonly dispatcher: Dispatcher;
  /** Called for each token of a streamed answer. */
  readonly onToken: () => void;
}

const DONE = "[DONE]";

/** Sends a call once and checks its answer against what the stand-ins answer. */
export async function sendAttempt(
  attempt: AttemptOptions,
): Promise<CallOutcome> {
  try {
    return await receive(attempt);
  } catch (error) {
    const { code, message } = error as NodeJS.ErrnoException;
    return { kind: "broken", detail: code ?? message };
  }
}

async function receive(attempt: AttemptOptions): Promise<CallOutcome> {
  const { entry, call, request: body, headers, dispatcher } = attempt;
  const answer = await request(`${entry}${body.path}`, {
    method: body.method,
    headers: { "content-type": "application/json", ...headers },
    body: body.body,
    dispatcher,
  });
  const type = String(answer.headers["content-type"] ?? "");
  const isStream = type.startsWith("text/event-stream");
  if (isStream && call.kind === "streamed") {
    return await receiveStream(answer.body, attempt);
  }
  const text = await answer.body.text();
  if (answer.statusCode >= 400) {
    const problem = parseProblemDocument(text, answer.statusCode);
    return { kind: "problem", problem };
  }
  return call.kind === "plain"
    ? checkEcho(text, attempt)
    : checkCompletion(text, attempt);
}

async function receiveStream(
  parts: AsyncIterable<Uint8Array>,
  { call, request: body, onToken }: AttemptOptions,
): Promise<CallOutcome> {
  const events = new ServerSentEventParser();
  let text = "";
  let isDone = false;
  for await (const part of parts) {
    for (const { name, data } of events.feed(part)) {
      if (name === "error") {
        return { kind: "problem", problem: parseProblemDocument(data, 200) };
      }
      // An answer that goes on after its end mark holds something foreign.
      if (isDone) return { kind: "crossed" };
      isDone = data === DONE;
      const token = isDone ? "" : tokenOf(data);
      if (token !== "") onToken();
      text += token;
    }
  }
  return judge(text, { call, body, isEnded: isDone });
}

function checkCompletion(
  text: string,
  { call, request: body }: AttemptOptions,
): CallOutcome {
  const completion = parse(text) as
    | { choices?: { message?: { content?: string } }[] }
    | undefined;
  const content = completion?.choices?.[0]?.message?.content;
  if (content === undefined) return { kind: "cut" };
  return judge(content, { call, body, isEnded: true });
}

function checkEcho(
  text: string,
  { request: body }: AttemptOptions,
): CallOutcome {
  const echo = parse(text) as { body?: string; path?: string } | undefined;
  if (echo === undefined) return { kind: "cut" };
  const isOwn = echo.body === body.body && echo.path === body.path;
  return { kind: isOwn ? "whole" : "crossed" };
}

/** A part of the expected answer is cut; anything else is another call's. */
function judge(
  text: string,
  { call, body, isEnded }: {
    call: PlannedCall;
    body: CallRequest;
    isEnded: boolean;
  },
): CallOutcome {
  const expected = expectedResponse(body.prompt, call.outputTokens);
  if (text === expected) return { kind: isEnded ? "whole" : "cut" };
  return { kind: expected.startsWith(text) ? "cut" : "crossed" };
}

function tokenOf(data: string): string {
  const chunk = parse(data) as
    | { choices?: { delta?: { content?: string } }[] }
    | undefined;
  return chunk?.choices?.[0]?.delta?.content ?? "";
}

function parse(text: string): unknown {
  try {
    return JSON.parse(text);
  } catch {
    return undefined;
  }
}
