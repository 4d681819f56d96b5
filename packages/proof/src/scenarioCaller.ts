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
const STREAM_END = "data: [DONE]\n\n";

/** Result of an attempt, derived from the bytes that the caller received. */
export interface AttemptResult {
  readonly ending: ObservedOutcome | "accepted";
  readonly detail: string;
  /** Detail of the problem, or the id of an accepted job. */
  readonly reason?: string;
  /** Violation that is evident from the response. */
  readonly fault?: "crossed" | "cut";
  /** Id of an accepted job. */
  readonly job?: string;
}

interface RequestShape {
  readonly method: string;
  readonly isModel: boolean;
  readonly isStream: boolean;
  readonly isJob: boolean;
}

const REQUEST_SHAPES: Readonly<Record<RequestKind, RequestShape>> = {
  draft: { method: "POST", isModel: true, isStream: true, isJob: false },
  answer: { method: "POST", isModel: true, isStream: false, isJob: false },
  save: { method: "POST", isModel: false, isStream: false, isJob: false },
  lookup: { method: "GET", isModel: false, isStream: false, isJob: false },
  review: { method: "POST", isModel: true, isStream: false, isJob: true },
  export: { method: "POST", isModel: false, isStream: false, isJob: true },
};

/** Whether requests of a kind are jobs, fetched after acceptance. */
export function isJobKind(kind: RequestKind): boolean {
  return REQUEST_SHAPES[kind].isJob;
}

/** Whether upstreams may run requests of a kind more than once. */
export function isIdempotentKind(kind: RequestKind): boolean {
  return REQUEST_SHAPES[kind].isModel || REQUEST_SHAPES[kind].method === "GET";
}

/** Builds the HTTP request, which is identical for every resend. */
export function buildCall(
  name: string,
  { request, key }: { request: ScenarioRequest; key: string | undefined },
): ScenarioCall {
  const { kind, account = DEFAULT_ACCOUNT, tier = 2 } = request;
  const { method, isModel, isJob } = REQUEST_SHAPES[kind];
  const marker = formatMarker(createMarker(name, request));
  return {
    method,
    path: isModel
      ? "/v1/chat/completions"
      : `/casefile/records/${
        method === "GET" ? encodeURIComponent(marker) : name
      }`,
    headers: {
      "authorization": `Bearer ${demoApiKey(account)}`,
      "content-type": "application/json",
      "x-tier": String(tier),
      "x-deadline-ms": String(request.deadlineMs ?? DEFAULT_DEADLINE_MS),
      ...(key === undefined ? {} : { "idempotency-key": key }),
      ...(isJob ? { "prefer": "respond-async" } : {}),
    },
    ...(method === "GET" ? {} : { body: buildBody(marker, request) }),
  };
}

/** Builds the HTTP request that polls a job. */
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

/** Evaluates the response to an attempt. */
export function evaluateAttempt(
  connection: CallerConnection,
  { name, request }: { name: string; request: ScenarioRequest },
): AttemptResult {
  const { status, headers, text, isFinished } = connection;
  if (!isFinished) return { ending: "unknown", detail: "connection-broken" };
  const type = String(headers["content-type"] ?? "");
  if (type.startsWith("application/problem+json")) return evaluateProblem(text);
  if (status === 202) return { ...parseAcceptedJob(text), ending: "accepted" };
  const marker = createMarker(name, request);
  if (type.startsWith("text/event-stream")) return evaluateStream(text, marker);
  return REQUEST_SHAPES[request.kind].isModel
    ? compareContent(parseCompletion(text), expectedCompletion(marker))
    : compareContent(parseRecord(text), name);
}

/** Evaluates the response to a job poll; `undefined` while the job runs. */
export function evaluateJobPoll(
  connection: CallerConnection,
  options: { name: string; request: ScenarioRequest },
): AttemptResult | undefined {
  const result = evaluateAttempt(connection, options);
  if (connection.headers["x-job-ending"] !== undefined) return result;
  return result.detail === "unknown-job" ? result : undefined;
}

function createMarker(name: string, request: ScenarioRequest): RequestMarker {
  return {
    request: name,
    tokens: request.tokens ?? DEFAULT_TOKENS,
    ...(request.isPoison ? { isPoison: true } : {}),
  };
}

function buildBody(marker: string, request: ScenarioRequest): string {
  const { isModel, isStream } = REQUEST_SHAPES[request.kind];
  const padding = "x".repeat((request.promptTokens ?? 0) * BYTES_PER_TOKEN);
  if (!isModel) return JSON.stringify({ mark: marker });
  return JSON.stringify({
    model: "drafter",
    messages: [{ role: "user", content: `${marker}${padding}` }],
    max_tokens: request.tokens ?? DEFAULT_TOKENS,
    stream: isStream,
  });
}

function evaluateProblem(text: string): AttemptResult {
  const { type, ending, detail } = JSON.parse(text) as {
    type: string;
    ending: ObservedOutcome;
    detail?: string;
  };
  const reason = detail === undefined ? {} : { reason: detail };
  return { ending, detail: type.split(":").at(-1)!, ...reason };
}

function parseAcceptedJob(text: string): Omit<AttemptResult, "ending"> {
  const { id, status } = JSON.parse(text) as { id: string; status: string };
  return { detail: status, reason: id, job: id };
}

function evaluateStream(text: string, marker: RequestMarker): AttemptResult {
  const [events, error] = text.split("event: error\ndata: ");
  if (error !== undefined) return evaluateProblem(error);
  const tokens = [...events!.matchAll(/"content":"([^"]*)"/g)];
  const content = tokens.map(([, token]) => token).join("");
  const result = compareContent(content, expectedCompletion(marker));
  if (result.ending !== "whole" || text.endsWith(STREAM_END)) return result;
  return {
    ending: "unknown",
    detail: "stream ended without [DONE]",
    fault: "cut",
  };
}

/** Classifies a prefix of the expected content as cut, the rest as crossed. */
function compareContent(
  received: string | undefined,
  expected: string,
): AttemptResult {
  if (received === expected) return { ending: "whole", detail: "" };
  const isPrefix = received === undefined || expected.startsWith(received);
  return {
    ending: "unknown",
    detail: `received ${received ?? "nothing"}`,
    fault: isPrefix ? "cut" : "crossed",
  };
}

function parseCompletion(text: string): string | undefined {
  const completion = parseJson(text) as
    | { choices?: { message?: { content?: string } }[] }
    | undefined;
  return completion?.choices?.[0]?.message?.content;
}

function parseRecord(text: string): string | undefined {
  return (parseJson(text) as { request?: string } | undefined)?.request;
}

function parseJson(text: string): unknown {
  try {
    return JSON.parse(text);
  } catch {
    return undefined;
  }
}
