import { connect } from "node:net";
import test, { type ExecutionContext } from "ava";
import { prefixDigests } from "@wasabivane/common";
import {
  type EngineProfile,
  expectedResponse,
  tokenCountMarker,
} from "@wasabivane/engine-model";
import {
  EngineStandIn,
  type EngineStandInOptions,
  type EngineStandInState,
} from "@wasabivane/stand-ins";
import {
  getJson,
  postJson,
  resumeChat,
  sendChat,
} from "./helpers/chatClient.ts";

const FAST: EngineProfile = {
  prefillTokensPerSecond: 1_000_000,
  decodeStepMs: 1,
  decodeStepPerRequestMs: 0,
  maximumBatch: 16,
  maximumBatchPrefillTokens: 2_048,
  kvCapacityTokens: 100_000,
};

async function startEngine(
  t: ExecutionContext,
  options: EngineStandInOptions = {},
): Promise<{ engine: EngineStandIn; url: string }> {
  const engine = new EngineStandIn({ profile: FAST, ...options });
  const { url } = await engine.start();
  t.teardown(() => engine.stop());
  return { engine, url };
}

test("a streamed response is complete and carries its nonce and usage", async (t) => {
  const { url } = await startEngine(t);
  const prompt = `Draft the holidays ${tokenCountMarker(40)}`;
  const response = await sendChat(url, { nonce: "abc", prompt });
  t.is(response.nonceHeader, "abc");
  t.deepEqual([...response.ids], ["chatcmpl-abc"]);
  t.is(response.text, expectedResponse(prompt, 40));
  t.is(response.tokens, 40);
  t.true(response.isDone);
  t.like(response.usage, { completion_tokens: 40 });
});

test("a non-streamed response has the same text, up to the token limit", async (t) => {
  const { url } = await startEngine(t);
  const prompt = `Draft ${tokenCountMarker(40)}`;
  const response = await sendChat(url, {
    prompt,
    stream: false,
    maximumTokens: 15,
  });
  t.is(response.text, expectedResponse(prompt, 15));
  t.deepEqual([...response.ids], ["chatcmpl-n1"]);
});

// Guards against lost or repeated tokens after a broken stream.
test("resuming a broken stream returns exactly the missing tokens", async (t) => {
  const { engine, url } = await startEngine(t);
  const prompt = `Draft ${tokenCountMarker(30)}`;
  engine.control("break-streams", { count: 1, afterTokens: 5 });
  const broken = await sendChat(url, { prompt });
  t.true(broken.isBroken);
  t.true(broken.tokens <= 5);
  t.is(broken.text, expectedResponse(prompt, broken.tokens));
  const resumed = await resumeChat(url, { offset: broken.tokens });
  t.is(broken.text + resumed.text, expectedResponse(prompt, 30));
  t.is(resumed.tokens, 30 - broken.tokens);
  t.true(resumed.isDone);
  t.is(engine.state.runs["n1"]?.starts, 1);
});

test("a request without a client is cancelled after the resume window", async (t) => {
  const { engine, url } = await startEngine(t, { resumeWindowMs: 20 });
  engine.control("break-streams", { count: 1 });
  await sendChat(url, { prompt: tokenCountMarker(1_000_000) });
  while (engine.state.runs["n1"]?.state !== "cancelled") {
    await new Promise((resolve) => setTimeout(resolve, 5));
  }
  t.is((await resumeChat(url, { offset: 0 })).status, 404);
});

test("the stream of a cancelled request ends without a done event", async (t) => {
  const { url } = await startEngine(t);
  const response = sendChat(url, { prompt: tokenCountMarker(1_000_000) });
  let status = 404;
  while (status === 404) {
    const { status: responseStatus } = await fetch(`${url}/v1/requests/n1`, {
      method: "DELETE",
    });
    status = responseStatus;
  }
  t.is(status, 204);
  t.false((await response).isDone);
  t.true((await response).isBroken);
});

// Each fault must be detectable from the response alone.
test("injected response faults are visible to the client", async (t) => {
  const { engine, url } = await startEngine(t);
  const prompt = tokenCountMarker(10);
  engine.control("truncate", { afterTokens: 3 });
  const truncated = await sendChat(url, { nonce: "n1", prompt });
  t.like(truncated, { isDone: false, isBroken: false, tokens: 3 });
  engine.control("wrong-nonce");
  const wrong = await sendChat(url, { nonce: "n2", prompt });
  t.false(wrong.ids.has("chatcmpl-n2"));
  t.not(wrong.nonceHeader, "n2");
  engine.control("second-answer");
  t.is((await sendChat(url, { nonce: "n3", prompt })).ids.size, 2);
  engine.control("refuse");
  const refused = await sendChat(url, { nonce: "n4", prompt });
  t.like(refused, { status: 503, nonceHeader: "n4" });
});

// Simulates an engine whose extra response would be read by the next request on
// the same connection.
test("an extra non-streamed response follows on the same connection", async (t) => {
  const { engine, url } = await startEngine(t);
  engine.control("second-answer");
  const { hostname, port } = new URL(url);
  const body = JSON.stringify({ model: "m", messages: [{ content: "Draft" }] });
  const socket = connect(Number(port), hostname);
  socket.write(
    `POST /v1/chat/completions HTTP/1.1\r\nhost: engine\r\n` +
      `x-request-nonce: n1\r\ncontent-length: ${body.length}\r\n\r\n${body}`,
  );
  let received = "";
  for await (const part of socket) {
    received += part;
    if (received.split("HTTP/1.1 200 OK").length === 3) break;
  }
  t.is(received.split("x-request-nonce: n1\r\n").length, 2);
  t.is(received.split("x-request-nonce:").length, 3);
});

test("a poison prompt crashes the engine and fails all its requests", async (t) => {
  const { engine, url } = await startEngine(t);
  const concurrent = sendChat(url, {
    nonce: "a",
    prompt: tokenCountMarker(1_000_000),
  });
  while (engine.state.runs["a"]?.state !== "running") {
    await new Promise((resolve) => setTimeout(resolve, 5));
  }
  const poison = await sendChat(url, { nonce: "b", prompt: "[[poison]]" });
  t.true(poison.isBroken);
  t.true((await concurrent).isBroken);
  await t.throwsAsync(fetch(`${url}/v1/load`));
  const state = await getJson<EngineStandInState>(`${url}/control/state`);
  t.false(state.isUp);
  t.is(state.runs["a"]?.state, "lost");
  t.is((await postJson(`${url}/control/restart`)).status, 200);
  t.true((await sendChat(url, { nonce: "c", prompt: "Again" })).isDone);
});

test("a paused engine responds only after it resumes", async (t) => {
  const { url } = await startEngine(t);
  await postJson(`${url}/control/pause`);
  let hasResponded = false;
  const response = sendChat(url, { prompt: "Draft" }).finally(() =>
    hasResponded = true
  );
  await getJson(`${url}/control/state`);
  t.false(hasResponded);
  await postJson(`${url}/control/resume`);
  t.true((await response).isDone);
});

test("imported cache blocks save prefill on another engine", async (t) => {
  const [source, target] = [await startEngine(t), await startEngine(t)];
  const prompt = "x".repeat(1_100);
  await sendChat(source.url, { prompt, salt: "firm" });
  const digests = prefixDigests("firm", prompt);
  const exported = await postJson(`${source.url}/v1/kv/export`, { digests });
  const { blocks } = await exported.json() as { blocks: { data: string }[] };
  t.is(blocks.length, 4);
  const forged = [{ ...blocks[0], data: blocks[1]!.data }];
  const refused = await postJson(`${target.url}/v1/kv/import`, {
    blocks: forged,
  });
  t.is(refused.status, 400);
  await postJson(`${target.url}/v1/kv/import`, { blocks });
  const response = await sendChat(target.url, { prompt, salt: "firm" });
  t.like(response.usage, { prompt_tokens_details: { cached_tokens: 256 } });
  const rival = await sendChat(target.url, { prompt, salt: "rival" });
  t.like(rival.usage, { prompt_tokens_details: { cached_tokens: 0 } });
});

test("only an engine that checks fencing rejects an outdated order", async (t) => {
  const checking = await startEngine(t, { fencing: "checked" });
  const ignoring = await startEngine(t);
  const statuses = [];
  for (const { url } of [checking, ignoring]) {
    await postJson(`${url}/v1/orders`, { order: "load", fencing: 7 });
    const old = await postJson(`${url}/v1/orders`, {
      order: "load",
      fencing: 6,
    });
    statuses.push(old.status);
  }
  t.deepEqual(statuses, [409, 200]);
});

test("malformed requests are rejected", async (t) => {
  const { url } = await startEngine(t);
  const chat = `${url}/v1/chat/completions`;
  t.is((await fetch(chat, { method: "POST", body: "{" })).status, 400);
  t.is((await postJson(chat, { model: "drafter" })).status, 400);
  t.is((await sendChat(url, { nonce: "a b", prompt: "x" })).status, 400);
  t.is((await postJson(`${url}/v1/orders`, { fencing: "7" })).status, 400);
  t.is((await postJson(`${url}/control/no-such`)).status, 404);
});
