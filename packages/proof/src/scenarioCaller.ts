import { demoApiKey } from "@wasabivane/bundle";
import {
  expectedCompletion,
  formatMarker,
  type RequestMarker,
} from "./fakeUpstreams.ts";
import {
  DEFAULT_DEADLINE_MS,
  DEFAULT_TOKENS,
  type ObservedOutcome,
  type RequestKind,
  type ScenarioRequest,
} from "./scenario.ts";
import type { CallerConnection, ScenarioCall } from "./callerConnection.ts";

const DEFAULT_ACCOUNT = "hakata-mediation";
const BYTES_PER_TOKEN = 4;
const END_MARK = "data: [DONE]\n\n";

/** How one attempt ended, judged by the bytes that the caller got. */
export interface AttemptResult {
  readonly ending: ObservedOutcome | "accepted";
  readonly detail: string;
  /** What the problem says beyond its kind. */
  readonly reason?: string;
  /** A broken promise that the bytes alone show. */
  readonly fault?: "crossed" | "cut";
  /** Only of an accepted job. */
  readonly job?: string;
}

interface Shape {
  readonly method: string;
  readonly isModel: boolean;
  readonly isStream: boolean;
  readonly isJob: boolean;
}

const SHAPES: Readonly<Record<RequestKind, Shape>> = {
  draft: { method: "POST", isModel: true, isStream: true, isJob: false },
  answer: { method: "POST", isModel: true, isStream: false, isJob: false },
  save: { method: "POST", isModel: false, isStream: false, isJob: false },
  lookup: { method: "GET", isModel: false, isStream: false, isJob: false },
  review: { method: "POST", isModel: true, isStream: false, isJob: true },
  export: { method: "POST", isModel: false, isStream: false, isJob: true },
};

/** Whether a kind is accepted now and fetched later. */
export function isJobKind(kind: RequestKind): boolean {
  return SHAPES[kind].isJob;
}

/** Whether upstreams may run a kind more than once. */
export function isIdempotentKind(kind: RequestKind): boolean {
  return SHAPES[kind].isModel || SHAPES[kind].method === "GET";
}

/** The bytes that a caller sends for a request; the same for every resend. */
export function buildCall(
  name: string,
  { request, key }: { request: ScenarioRequest; key: string | undefined },
): ScenarioCall {
  const { kind, account = DEFAULT_ACCOUNT, tier = 2 } = request;
  const { method, isModel, isJob } = SHAPES[kind];
  const mark = formatMarker(markFor(name, request));
  return {
    method,
    path: isModel
      ? "/v1/chat/completions"
      : `/casefile/records/${
        method === "GET" ? encodeURIComponent(mark) : name
      }`,
    headers: {
      "authorization": `Bearer ${demoApiKey(account)}`,
      "content-type": "application/json",
      "x-tier": String(tier),
      "x-deadline-ms": String(request.deadlineMs ?? DEFAULT_DEADLINE_MS),
      ...(key === undefined ? {} : { "idempotency-key": key }),
      ...(isJob ? { "prefer": "respond-async" } : {}),
    },
    ...(method === "GET" ? {} : { body: bodyOf(mark, request) }),
  };
}

/** The call that asks what became of a job. */
export function buildJobPoll(
  id: string,
  request: ScenarioRequest,
): ScenarioCall {
  const { account = DEFAULT_ACCOUNT } = request;
  return {
    method: "GET",
    path: `/v1/jobs/${id}`,
    headers: { "authorization": `Bearer ${demoApiKey(account)}` },
  };
}

/** Judges what arrived for an attempt. */
export function evaluateAttempt(
  connection: CallerConnection,
  { name, request }: { name: string; request: ScenarioRequest },
): AttemptResult {
  const { status, headers, text, isFinished } = connection;
  if (!isFinished) return { ending: "unknown", detail: "connection-broken" };
  const type = String(headers["content-type"] ?? "");
  if (type.startsWith("application/problem+json")) return problemEnding(text);
  if (status === 202) return { ...jobOf(text), ending: "accepted" };
  const own = markFor(name, request);
  if (type.startsWith("text/event-stream")) return streamEnding(text, own);
  return SHAPES[request.kind].isModel
    ? judge(completionOf(text), expectedCompletion(own))
    : judge(recordOf(text), name);
}

/** Judges the answer to a question about a job; undefined while it has not ended. */
export function evaluateJobPoll(
  connection: CallerConnection,
  options: { name: string; request: ScenarioRequest },
): AttemptResult | undefined {
  const ending = evaluateAttempt(connection, options);
  if (connection.headers["x-job-ending"] !== undefined) return ending;
  return ending.detail === "unknown-job" ? ending : undefined;
}

function markFor(name: string, request: ScenarioRequest): RequestMarker {
  return {
    request: name,
    tokens: request.tokens ?? DEFAULT_TOKENS,
    ...(request.isPoison ? { isPoison: true } : {}),
  };
}

function bodyOf(mark: string, request: ScenarioRequest): string {
  const { isModel, isStream } = SHAPES[request.kind];
  const padding = "x".repeat((request.promptTokens ?? 0) * BYTES_PER_TOKEN);
  if (!isModel) return JSON.stringify({ mark });
  return JSON.stringify({
    model: "drafter",
    messages: [{ role: "user", content: `${mark}${padding}` }],
    max_tokens: request.tokens ?? DEFAULT_TOKENS,
    stream: isStream,
  });
}

function problemEnding(text: string): AttemptResult {
  const { type, ending, detail } = JSON.parse(text) as {
    type: string;
    ending: ObservedOutcome;
    detail?: string;
  };
  const reason = detail === undefined ? {} : { reason: detail };
  return { ending, detail: type.split(":").at(-1)!, ...reason };
}

function jobOf(text: string): Omit<AttemptResult, "ending"> {
  const { id, status } = JSON.parse(text) as { id: string; status: string };
  return { detail: status, reason: id, job: id };
}

function streamEnding(text: string, own: RequestMarker): AttemptResult {
  const [events, error] = text.split("event: error\ndata: ");
  if (error !== undefined) return problemEnding(error);
  const tokens = [...events!.matchAll(/"content":"([^"]*)"/g)];
  const content = tokens.map(([, token]) => token).join("");
  const judged = judge(content, expectedCompletion(own));
  if (judged.ending !== "whole" || text.endsWith(END_MARK)) return judged;
  return { ending: "unknown", detail: "no end mark", fault: "cut" };
}

/** A part of the expected answer is cut; anything else is another's. */
function judge(got: string | undefined, expected: string): AttemptResult {
  if (got === expected) return { ending: "whole", detail: "" };
  const isPart = got === undefined || expected.startsWith(got);
  return {
    ending: "unknown",
    detail: `got ${got ?? "nothing"}`,
    fault: isPart ? "cut" : "crossed",
  };
}

function completionOf(text: string): string | undefined {
  const completion = parse(text) as
    | { choices?: { message?: { content?: string } }[] }
    | undefined;
  return completion?.choices?.[0]?.message?.content;
}

function recordOf(text: string): string | undefined {
  return (parse(text) as { request?: string } | undefined)?.request;
}

function parse(text: string): unknown {
  try {
    return JSON.parse(text);
  } catch {
    return undefined;
  }
}
