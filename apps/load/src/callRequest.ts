import { BYTES_PER_TOKEN } from "@wasabivane/common";
import { tokenCountMarker } from "@wasabivane/engine-model";
import type { PlannedCall } from "./planCalls.ts";

const WORD_CHARACTERS = 8;
/** Share of a prompt that all prompts of its account begin with, as case files do. */
const SHARED_SHARE = 0.5;

/** Where calls go: the models and plain services of a deployment. */
export interface CallTargets {
  readonly models: readonly string[];
  readonly plainPaths: readonly string[];
}

/** A request without its headers, the same for each resend. */
export interface CallRequest {
  readonly method: "POST";
  readonly path: string;
  readonly body: string;
  /** Prompt of a completion, empty for plain calls. */
  readonly prompt: string;
}

/** Writes the request of a planned call; no two calls of a run are alike. */
export function createCallRequest(
  call: PlannedCall,
  { targets, seed }: { targets: CallTargets; seed: number },
): CallRequest {
  const mark = `${call.caller.account} ${seed} ${call.index}`;
  if (call.kind === "plain") {
    const path = pickBy(targets.plainPaths, call.index);
    const body = JSON.stringify({ save: mark });
    return { method: "POST", path: `${path}/saves`, body, prompt: "" };
  }
  const prompt = promptOf(call, mark);
  const body = JSON.stringify({
    model: pickBy(targets.models, call.index),
    messages: [{ role: "user", content: prompt }],
    stream: call.kind === "streamed",
    "max_tokens": call.outputTokens,
  });
  return { method: "POST", path: "/v1/chat/completions", body, prompt };
}

function promptOf(call: PlannedCall, mark: string): string {
  const tail = `\n${mark} ${tokenCountMarker(call.outputTokens)}`;
  const length = call.promptTokens * BYTES_PER_TOKEN - tail.length;
  const shared = Math.floor(length * SHARED_SHARE);
  return fill(call.caller.account, shared) + fill(mark, length - shared) + tail;
}

/** Repeats a text, each time with its place, up to a length. */
function fill(text: string, length: number): string {
  let filled = "";
  for (let place = 0; filled.length < length; place++) {
    filled += `${text} ${place.toString().padStart(WORD_CHARACTERS, "0")} `;
  }
  return filled.slice(0, Math.max(0, length));
}

function pickBy(items: readonly string[], index: number): string {
  return items[index % items.length]!;
}
