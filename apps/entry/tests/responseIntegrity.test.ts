import { Buffer } from "node:buffer";
import test, { type ExecutionContext } from "ava";
import { expectedAnswer, markTokens } from "@wasabivane/engine-model";
import {
  type ChatResponse,
  openChat,
  parseChatResponse,
  sendChat,
} from "./helpers/chatClient.ts";
import {
  bearer,
  type EntryFixture,
  type EntryFixtureOptions,
  startEntryFixture,
  until,
} from "./helpers/entryFixture.ts";
import {
  type ScriptedCall,
  startScriptedUpstream,
} from "./helpers/scriptedUpstream.ts";

const TOKENS = 40;
const PROMPT = `Draft a visiting calendar ${markTokens(TOKENS)}`;

async function withBench(
  t: ExecutionContext,
  options: EntryFixtureOptions = {},
): Promise<EntryFixture> {
  const bench = await startEntryFixture(options);
  t.teardown(() => bench.stop());
  return bench;
}

function assertWhole(t: ExecutionContext, answer: ChatResponse): void {
  t.is(answer.status, 200);
  t.is(answer.content, expectedAnswer(PROMPT, TOKENS));
  t.true(answer.isComplete);
  t.is(answer.problem, undefined);
}

function assertFailed(
  t: ExecutionContext,
  { isComplete: isWhole, problem }: ChatResponse,
  { name, ending = "unknown" }: { name: string; ending?: string },
): void {
  t.false(isWhole);
  t.is(problem?.type, `urn:wasabivane:problem:${name}`);
  t.is(problem?.ending, ending);
}

function starts({ engines }: EntryFixture): number[] {
  return engines.flatMap(({ state }) =>
    Object.values(state.runs).map(({ starts }) => starts)
  );
}

for (const stream of [true, false]) {
  const form = stream ? "streamed" : "whole";

  test(`a ${form} answer with another's nonce reaches no caller and its run is cancelled`, async (t) => {
    const bench = await withBench(t);
    bench.engines[0]!.control("wrong-nonce");
    const prompt = `Draft ${markTokens(50_000)}`;
    const answer = await sendChat(bench, {
      prompt: stream ? prompt : PROMPT,
      stream,
    });
    assertFailed(t, answer, { name: "answer-not-own" });
    t.is(answer.status, 502);
    t.is(answer.content, "");
    t.is(bench.counter("safeguard.answer_not_own"), 1);
    t.is(bench.status().openExchanges, 0);
    await until(() =>
      Object.values(bench.engines[0]!.state.runs)
        .every(({ state }) => state !== "running")
    );
    t.deepEqual(starts(bench), [1]);
  });

  test(`a truncated ${form} answer is resumed without a gap or a double`, async (t) => {
    const bench = await withBench(t);
    bench.engines[0]!.control("truncate", { count: 2, afterTokens: 7 });
    assertWhole(t, await sendChat(bench, { prompt: PROMPT, stream }));
    t.is(bench.counter("safeguard.resume"), 2);
    t.deepEqual(starts(bench), [1]);
  });

  test(`a broken ${form} answer is resumed without a gap or a double`, async (t) => {
    const bench = await withBench(t);
    bench.engines[0]!.control("break-streams", { count: 2, afterTokens: 7 });
    assertWhole(t, await sendChat(bench, { prompt: PROMPT, stream }));
    t.is(bench.counter("safeguard.resume"), 2);
    t.deepEqual(starts(bench), [1]);
  });

  // The engine sends another answer behind the first on the same connection.
  // The caller of the first must get the first alone, and the next caller,
  // whose request may go over that connection, its own.
  test(`a second answer behind a ${form} one reaches nobody`, async (t) => {
    const bench = await withBench(t);
    bench.engines[0]!.control("second-answer");
    assertWhole(t, await sendChat(bench, { prompt: PROMPT, stream }));
    const next = `Another ${markTokens(TOKENS)}`;
    const answer = await sendChat(bench, { prompt: next, stream });
    const isTruthful = answer.isComplete
      ? answer.content === expectedAnswer(next, TOKENS)
      : answer.problem?.ending === "unknown" && answer.content === "";
    t.true(isTruthful, answer.text);
    if (stream) t.is(bench.counter("safeguard.excess_answer"), 1);
  });
}

test("an engine that crashes within a stream ends it with an error event", async (t) => {
  const bench = await withBench(t);
  const answer = await openChat(bench, { prompt: markTokens(100_000) });
  let text = "";
  const decoder = new TextDecoder();
  for await (const part of answer.body!) {
    if (text === "") bench.engines[0]!.control("crash");
    text += decoder.decode(part as Uint8Array, { stream: true });
  }
  assertFailed(t, parseChatResponse(answer.status, text), {
    name: "answer-broken",
  });
  t.false(text.includes("[DONE]"));
  t.deepEqual(starts(bench), [1]);
  t.is(bench.status().openExchanges, 0);
});

test("an engine that answers 5xx may have run the request, so it ends as unknown", async (t) => {
  const bench = await withBench(t, { engines: 2 });
  for (const engine of bench.engines) engine.control("refuse");
  const answer = await sendChat(bench, { prompt: PROMPT });
  assertFailed(t, answer, { name: "upstream-refused" });
  t.is(answer.status, 502);
});

// Every header is right, but the engine mixes another answer's chunk in.
test("a chunk with another's id ends the stream with an error event", async (t) => {
  const engine = await startScriptedUpstream(({ outgoing, nonce }) => {
    outgoing.writeHead(200, { "x-request-nonce": nonce });
    for (const id of [nonce, "another"]) {
      const choices = [{ index: 0, delta: { content: ` ${id}` } }];
      outgoing.write(
        `data: ${JSON.stringify({ id: `chatcmpl-${id}`, choices })}\n\n`,
      );
    }
  });
  t.teardown(() => engine.stop());
  const bench = await withBench(t, {
    upstreamUrls: { "drafter-01": engine.url },
  });
  const answer = await sendChat(bench, { prompt: PROMPT });
  assertFailed(t, answer, { name: "answer-not-own" });
  t.false(answer.text.includes("another"));
  t.is(bench.counter("safeguard.answer_not_own"), 1);
  await until(() => engine.calls.some((call) => call.startsWith("DELETE ")));
  t.is(engine.calls.filter((call) => call.endsWith("/completions")).length, 1);
});

interface PlainProblem {
  readonly status: number;
  readonly type?: string;
  readonly ending?: string;
}

async function callPlain(
  { callerUrl }: EntryFixture,
  { method = "POST", path = "/casefile/a" } = {},
): Promise<PlainProblem> {
  const headers = { authorization: bearer() };
  const answer = await fetch(`${callerUrl}${path}`, { method, headers });
  const body = answer.status === 204 ? "" : await answer.text();
  return { ...JSON.parse(body || "{}"), status: answer.status };
}

test("a plain service that breaks off after it ran is called once, with an unknown ending", async (t) => {
  const bench = await withBench(t, { plainServices: 3 });
  for (const plain of bench.plainServices) plain.control("reset-after-run");
  const answer = await callPlain(bench);
  t.like(answer, {
    status: 502,
    type: "urn:wasabivane:problem:answer-broken",
    ending: "unknown",
  });
  t.is(bench.plainServices.reduce((sum, { runs }) => sum + runs.total, 0), 1);
  t.is(bench.status().openExchanges, 0);
});

test("a plain service's answer with another's nonce reaches no caller", async (t) => {
  const bench = await withBench(t);
  bench.plainServices[0]!.control("wrong-nonce");
  t.like(await callPlain(bench), {
    status: 502,
    type: "urn:wasabivane:problem:answer-not-own",
    ending: "unknown",
  });
  t.is(bench.counter("safeguard.answer_not_own"), 1);
});

test("a plain service that refuses the connection gives way to another, with one run", async (t) => {
  const bench = await withBench(t, { plainServices: 3 });
  await bench.plainServices[0]!.stop();
  let calls = 0;
  while (bench.counter("safeguard.connection_refused") === 0) {
    t.is((await callPlain(bench)).status, 200);
    calls++;
  }
  t.is(
    bench.plainServices.reduce((sum, { runs }) => sum + runs.total, 0),
    calls,
  );
});

const MEBIBYTE = 1024 * 1024;

// Large answers are relayed before they are whole. What was sent of a broken
// one must not look like a whole answer: the caller's connection breaks.
for (const isWhole of [true, false]) {
  const ending = isWhole ? "arrives whole" : "that breaks is cut visibly";
  test(`a large answer of a plain service ${ending}`, async (t) => {
    const plain = await startScriptedUpstream(({ outgoing, nonce }) => {
      outgoing.writeHead(200, { "x-request-nonce": nonce });
      const sent = outgoing.write(Buffer.alloc(8 * MEBIBYTE, "x"), () => {
        if (isWhole) outgoing.end();
        else outgoing.destroy();
      });
      t.false(sent);
    });
    t.teardown(() => plain.stop());
    const bench = await withBench(t, {
      upstreamUrls: { "casefile-1": plain.url },
    });
    const headers = { authorization: bearer() };
    const answer = await fetch(`${bench.callerUrl}/casefile/a`, { headers });
    t.is(answer.status, 200);
    if (isWhole) t.is((await answer.text()).length, 8 * MEBIBYTE);
    else await t.throwsAsync(answer.text());
    await until(() => bench.status().openExchanges === 0);
  });
}

test("an engine's whole answer without end is given up", async (t) => {
  let isClosed = false;
  const engine = await startScriptedUpstream(
    ({ incoming, outgoing, nonce }) => {
      outgoing.writeHead(200, { "x-request-nonce": nonce });
      if (incoming.method === "DELETE") return void outgoing.end();
      outgoing.on("close", () => (isClosed = true));
      const write = (): void => {
        if (!isClosed) outgoing.write(Buffer.alloc(MEBIBYTE, "x"), write);
      };
      write();
    },
  );
  t.teardown(() => engine.stop());
  const bench = await withBench(t, {
    upstreamUrls: { "drafter-01": engine.url },
  });
  const answer = await sendChat(bench, { prompt: PROMPT, stream: false });
  assertFailed(t, answer, { name: "answer-broken" });
  await until(() => isClosed);
});

test("when every plain service refuses the connection, nothing has run", async (t) => {
  const bench = await withBench(t);
  await bench.plainServices[0]!.stop();
  t.like(await callPlain(bench), { status: 503, ending: "not-run" });
  t.is(bench.status().openExchanges, 0);
});

// An upstream may close an idle connection in the very moment in which a call
// is sent on it. The call is then lost without anyone knowing whether it ran,
// so what may not run twice goes over a connection of its own.
test("a call that may not run twice never goes over a used connection", async (t) => {
  const seen = new Set<unknown>();
  const closeUsed = ({ incoming, outgoing, nonce }: ScriptedCall): void => {
    if (seen.has(incoming.socket)) return void incoming.socket.destroy();
    seen.add(incoming.socket);
    outgoing.writeHead(200, { "x-request-nonce": nonce }).end("{}");
  };
  const plain = await startScriptedUpstream(closeUsed);
  t.teardown(() => plain.stop());
  const bench = await withBench(t, {
    upstreamUrls: { "casefile-1": plain.url },
  });
  for (let call = 0; call < 4; call++) {
    t.is(
      (await callPlain(bench, { method: call % 2 === 0 ? "GET" : "POST" }))
        .status,
      200,
    );
    if (call === 1) seen.clear();
  }
  t.is(plain.calls.length, 4);
});
