import { expectedResponse } from "@wasabivane/engine-model";
import { type Dispatcher, request as sendRequest } from "undici";
import type { CallRequest } from "./callRequest.ts";
import {
  parseProblemDocument,
  type ProblemDocument,
} from "./problemDocument.ts";
import { ServerSentEventParser } from "./serverSentEventParser.ts";
import type { PlannedCall } from "./planCalls.ts";

/** Outcome of a call, judged by what the caller received. */
export type CallOutcome =
  | { readonly kind: "whole" }
  /** The response ended without an error, but part of it is missing. */
  | { readonly kind: "cut" }
  /** The response has content of another call. */
  | { readonly kind: "crossed" }
  | { readonly kind: "problem"; readonly problem: ProblemDocument }
  /** The connection broke, so that the outcome is unknown. */
  | { readonly kind: "broken"; readonly detail: string };

/** Options of {@link sendAttempt}. */
export interface AttemptOptions {
  /** Base URL of the entry. */
  readonly entry: string;
  readonly call: PlannedCall;
  readonly request: CallRequest;
  readonly headers: Readonly<Record<string, string>>;
  readonly dispatcher: Dispatcher;
  /** Called for each token of a streamed response. */
  readonly onToken: () => void;
}

const END_MARK = "[DONE]";

/**
 * Sends a call once and compares the response with the expected one of the
 * stand-ins.
 */
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
  const { entry, call, request, headers, dispatcher } = attempt;
  const response = await sendRequest(`${entry}${request.path}`, {
    method: request.method,
    headers: { "content-type": "application/json", ...headers },
    body: request.body,
    dispatcher,
  });
  const contentType = String(response.headers["content-type"] ?? "");
  const isStream = contentType.startsWith("text/event-stream");
  if (isStream && call.kind === "streamed") {
    return await receiveStream(response.body, attempt);
  }
  const text = await response.body.text();
  if (response.statusCode >= 400) {
    const problem = parseProblemDocument(text, response.statusCode);
    return { kind: "problem", problem };
  }
  return call.kind === "plain"
    ? checkEcho(text, attempt)
    : checkCompletion(text, attempt);
}

async function receiveStream(
  parts: AsyncIterable<Uint8Array>,
  { call, request, onToken }: AttemptOptions,
): Promise<CallOutcome> {
  const parser = new ServerSentEventParser();
  let text = "";
  let isDone = false;
  for await (const part of parts) {
    for (const { name, data } of parser.feed(part)) {
      if (name === "error") {
        return { kind: "problem", problem: parseProblemDocument(data, 200) };
      }
      // Content after the end mark cannot belong to this call.
      if (isDone) return { kind: "crossed" };
      isDone = data === END_MARK;
      const token = isDone ? "" : parseToken(data);
      if (token !== "") onToken();
      text += token;
    }
  }
  return compareWithExpected(text, { call, request, isEnded: isDone });
}

function checkCompletion(
  text: string,
  { call, request }: AttemptOptions,
): CallOutcome {
  const completion = parseJson(text) as
    | { choices?: { message?: { content?: string } }[] }
    | undefined;
  const content = completion?.choices?.[0]?.message?.content;
  if (content === undefined) return { kind: "cut" };
  return compareWithExpected(content, { call, request, isEnded: true });
}

function checkEcho(
  text: string,
  { request }: AttemptOptions,
): CallOutcome {
  const echo = parseJson(text) as { body?: string; path?: string } | undefined;
  if (echo === undefined) return { kind: "cut" };
  const isOwn = echo.body === request.body && echo.path === request.path;
  return { kind: isOwn ? "whole" : "crossed" };
}

/**
 * A prefix of the expected response is cut; any other difference is crossed.
 */
function compareWithExpected(
  text: string,
  { call, request, isEnded }: {
    call: PlannedCall;
    request: CallRequest;
    isEnded: boolean;
  },
): CallOutcome {
  const expected = expectedResponse(request.prompt, call.outputTokens);
  if (text === expected) return { kind: isEnded ? "whole" : "cut" };
  return { kind: expected.startsWith(text) ? "cut" : "crossed" };
}

function parseToken(data: string): string {
  const chunk = parseJson(data) as
    | { choices?: { delta?: { content?: string } }[] }
    | undefined;
  return chunk?.choices?.[0]?.delta?.content ?? "";
}

function parseJson(text: string): unknown {
  try {
    return JSON.parse(text);
  } catch {
    return undefined;
  }
}
