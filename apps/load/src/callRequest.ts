import { BYTES_PER_TOKEN } from "@wasabivane/common";
import { tokenCountMarker } from "@wasabivane/engine-model";
import type { PlannedCall } from "./planCalls.ts";

const COUNTER_DIGITS = 8;
/** Share of a prompt that is a common prefix of its account's prompts. */
const SHARED_PREFIX_SHARE = 0.5;

/** Models and plain services that calls address. */
export interface CallTargets {
  readonly models: readonly string[];
  readonly plainPaths: readonly string[];
}

/** Request of a call without its headers; the same for each resend. */
export interface CallRequest {
  readonly method: "POST";
  readonly path: string;
  readonly body: string;
  /** Prompt of a completion; empty for plain calls. */
  readonly prompt: string;
}

/**
 * Creates the request of a planned call; its content is unique within the run.
 */
export function createCallRequest(
  call: PlannedCall,
  { targets, seed }: { targets: CallTargets; seed: number },
): CallRequest {
  const callId = `${call.caller.account} ${seed} ${call.index}`;
  if (call.kind === "plain") {
    const path = pickByIndex(targets.plainPaths, call.index);
    const body = JSON.stringify({ save: callId });
    return { method: "POST", path: `${path}/saves`, body, prompt: "" };
  }
  const prompt = createPrompt(call, callId);
  const body = JSON.stringify({
    model: pickByIndex(targets.models, call.index),
    messages: [{ role: "user", content: prompt }],
    stream: call.kind === "streamed",
    "max_tokens": call.outputTokens,
  });
  return { method: "POST", path: "/v1/chat/completions", body, prompt };
}

function createPrompt(call: PlannedCall, callId: string): string {
  const tail = `\n${callId} ${tokenCountMarker(call.outputTokens)}`;
  const length = call.promptTokens * BYTES_PER_TOKEN - tail.length;
  const shared = Math.floor(length * SHARED_PREFIX_SHARE);
  return repeatToLength(call.caller.account, shared) +
    repeatToLength(callId, length - shared) + tail;
}

/** Repeats a text with a counter up to a length. */
function repeatToLength(text: string, length: number): string {
  let result = "";
  for (let count = 0; result.length < length; count++) {
    result += `${text} ${count.toString().padStart(COUNTER_DIGITS, "0")} `;
  }
  return result.slice(0, Math.max(0, length));
}

function pickByIndex(items: readonly string[], index: number): string {
  return items[index % items.length]!;
}
