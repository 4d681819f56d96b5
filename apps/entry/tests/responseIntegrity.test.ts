import { Buffer } from "node:buffer";
import test, { type ExecutionContext } from "ava";
import { expectedResponse, tokenCountMarker } from "@wasabivane/engine-model";
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
const PROMPT = `Draft a visiting calendar ${tokenCountMarker(TOKENS)}`;

async function createFixture(
  t: ExecutionContext,
  options: EntryFixtureOptions = {},
): Promise<EntryFixture> {
  const fixture = await startEntryFixture(options);
  t.teardown(() => fixture.stop());
  return fixture;
}

function assertComplete(t: ExecutionContext, response: ChatResponse): void {
  t.is(response.status, 200);
  t.is(response.content, expectedResponse(PROMPT, TOKENS));
  t.true(response.isComplete);
  t.is(response.problem, undefined);
}

function assertFailed(
  t: ExecutionContext,
  { isComplete, problem }: ChatResponse,
  { name, ending = "unknown" }: { name: string; ending?: string },
): void {
  t.false(isComplete);
  t.is(problem?.type, `urn:wasabivane:problem:${name}`);
  t.is(problem?.ending, ending);
}

function startCounts({ engines }: EntryFixture): number[] {
  return engines.flatMap(({ state }) =>
    Object.values(state.runs).map(({ starts }) => starts)
  );
}

for (const stream of [true, false]) {
  const form = stream ? "streamed" : "complete";

  test(`a ${form} response with another nonce is not relayed and its run is cancelled`, async (t) => {
    const fixture = await createFixture(t);
    fixture.engines[0]!.control("wrong-nonce");
    const prompt = `Draft ${tokenCountMarker(50_000)}`;
    const response = await sendChat(fixture, {
      prompt: stream ? prompt : PROMPT,
      stream,
    });
    assertFailed(t, response, { name: "answer-not-own" });
    t.is(response.status, 502);
    t.is(response.content, "");
    t.is(fixture.counter("safeguard.answer_not_own"), 1);
    t.is(fixture.status().openExchanges, 0);
    await until(() =>
      Object.values(fixture.engines[0]!.state.runs)
        .every(({ state }) => state !== "running")
    );
    t.deepEqual(startCounts(fixture), [1]);
  });

  test(`a truncated ${form} response is resumed without gaps or duplicates`, async (t) => {
    const fixture = await createFixture(t);
    fixture.engines[0]!.control("truncate", { count: 2, afterTokens: 7 });
    assertComplete(t, await sendChat(fixture, { prompt: PROMPT, stream }));
    t.is(fixture.counter("safeguard.resume"), 2);
    t.deepEqual(startCounts(fixture), [1]);
  });

  test(`a broken ${form} response is resumed without gaps or duplicates`, async (t) => {
    const fixture = await createFixture(t);
    fixture.engines[0]!.control("break-streams", { count: 2, afterTokens: 7 });
    assertComplete(t, await sendChat(fixture, { prompt: PROMPT, stream }));
    t.is(fixture.counter("safeguard.resume"), 2);
    t.deepEqual(startCounts(fixture), [1]);
  });

  // Guards against relaying a second response, which the engine sends on the
  // same connection, to the caller of the first or of the next request.
  test(`a second response after a ${form} one reaches no caller`, async (t) => {
    const fixture = await createFixture(t);
    fixture.engines[0]!.control("second-answer");
    assertComplete(t, await sendChat(fixture, { prompt: PROMPT, stream }));
    const next = `Another ${tokenCountMarker(TOKENS)}`;
    const response = await sendChat(fixture, { prompt: next, stream });
    const isOwnResponse = response.isComplete
      ? response.content === expectedResponse(next, TOKENS)
      : response.problem?.ending === "unknown" && response.content === "";
    t.true(isOwnResponse, response.text);
    if (stream) t.is(fixture.counter("safeguard.excess_answer"), 1);
  });
}

test("an engine crash during a stream ends it with an error event", async (t) => {
  const fixture = await createFixture(t);
  const response = await openChat(fixture, {
    prompt: tokenCountMarker(100_000),
  });
  let text = "";
  const decoder = new TextDecoder();
  for await (const part of response.body!) {
    if (text === "") fixture.engines[0]!.control("crash");
    text += decoder.decode(part as Uint8Array, { stream: true });
  }
  assertFailed(t, parseChatResponse(response.status, text), {
    name: "answer-broken",
  });
  t.false(text.includes("[DONE]"));
  t.deepEqual(startCounts(fixture), [1]);
  t.is(fixture.status().openExchanges, 0);
});

test("an engine's 5xx status ends the request as unknown", async (t) => {
  const fixture = await createFixture(t, { engines: 2 });
  for (const engine of fixture.engines) engine.control("refuse");
  const response = await sendChat(fixture, { prompt: PROMPT });
  assertFailed(t, response, { name: "upstream-refused" });
  t.is(response.status, 502);
});

// Guards against relaying a chunk of another response under a correct header.
test("a chunk with another id ends the stream with an error event", async (t) => {
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
  const fixture = await createFixture(t, {
    upstreamUrls: { "drafter-01": engine.url },
  });
  const response = await sendChat(fixture, { prompt: PROMPT });
  assertFailed(t, response, { name: "answer-not-own" });
  t.false(response.text.includes("another"));
  t.is(fixture.counter("safeguard.answer_not_own"), 1);
  await until(() => engine.calls.some((call) => call.startsWith("DELETE ")));
  t.is(engine.calls.filter((call) => call.endsWith("/completions")).length, 1);
});

interface PlainProblem {
  readonly status: number;
  readonly type?: string;
  readonly ending?: string;
}

async function callPlainService(
  { callerUrl }: EntryFixture,
  { method = "POST", path = "/casefile/a" } = {},
): Promise<PlainProblem> {
  const headers = { authorization: bearer() };
  const response = await fetch(`${callerUrl}${path}`, { method, headers });
  const body = response.status === 204 ? "" : await response.text();
  return { ...JSON.parse(body || "{}"), status: response.status };
}

test("a plain service that breaks off its response is called once and ends as unknown", async (t) => {
  const fixture = await createFixture(t, { plainServices: 3 });
  for (const plainService of fixture.plainServices) {
    plainService.control("reset-after-run");
  }
  const response = await callPlainService(fixture);
  t.like(response, {
    status: 502,
    type: "urn:wasabivane:problem:answer-broken",
    ending: "unknown",
  });
  t.is(fixture.plainServices.reduce((sum, { runs }) => sum + runs.total, 0), 1);
  t.is(fixture.status().openExchanges, 0);
});

test("a plain service's response with another nonce reaches no caller", async (t) => {
  const fixture = await createFixture(t);
  fixture.plainServices[0]!.control("wrong-nonce");
  t.like(await callPlainService(fixture), {
    status: 502,
    type: "urn:wasabivane:problem:answer-not-own",
    ending: "unknown",
  });
  t.is(fixture.counter("safeguard.answer_not_own"), 1);
});

test("a request refused by one plain service runs once at another", async (t) => {
  const fixture = await createFixture(t, { plainServices: 3 });
  await fixture.plainServices[0]!.stop();
  let calls = 0;
  while (fixture.counter("safeguard.connection_refused") === 0) {
    t.is((await callPlainService(fixture)).status, 200);
    calls++;
  }
  t.is(
    fixture.plainServices.reduce((sum, { runs }) => sum + runs.total, 0),
    calls,
  );
});

const MEBIBYTE = 1024 * 1024;

// Guards against a truncated large response that looks complete to its caller.
for (const isComplete of [true, false]) {
  const ending = isComplete
    ? "arrives completely"
    : "that is truncated breaks the connection";
  test(`a large response of a plain service ${ending}`, async (t) => {
    const plainService = await startScriptedUpstream(({ outgoing, nonce }) => {
      outgoing.writeHead(200, { "x-request-nonce": nonce });
      const sent = outgoing.write(Buffer.alloc(8 * MEBIBYTE, "x"), () => {
        if (isComplete) outgoing.end();
        else outgoing.destroy();
      });
      t.false(sent);
    });
    t.teardown(() => plainService.stop());
    const fixture = await createFixture(t, {
      upstreamUrls: { "casefile-1": plainService.url },
    });
    const headers = { authorization: bearer() };
    const response = await fetch(`${fixture.callerUrl}/casefile/a`, {
      headers,
    });
    t.is(response.status, 200);
    if (isComplete) t.is((await response.text()).length, 8 * MEBIBYTE);
    else await t.throwsAsync(response.text());
    await until(() => fixture.status().openExchanges === 0);
  });
}

test("an endless response of an engine is aborted", async (t) => {
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
  const fixture = await createFixture(t, {
    upstreamUrls: { "drafter-01": engine.url },
  });
  const response = await sendChat(fixture, { prompt: PROMPT, stream: false });
  assertFailed(t, response, { name: "answer-broken" });
  await until(() => isClosed);
});

test("a request that every plain service refuses to connect ends as not run", async (t) => {
  const fixture = await createFixture(t);
  await fixture.plainServices[0]!.stop();
  t.like(await callPlainService(fixture), { status: 503, ending: "not-run" });
  t.is(fixture.status().openExchanges, 0);
});

// Guards against sending a non-idempotent request on an idle connection that
// the upstream is closing, which leaves unknown whether the request ran.
test("a non-idempotent request never uses an existing connection", async (t) => {
  const seen = new Set<unknown>();
  const closeUsed = ({ incoming, outgoing, nonce }: ScriptedCall): void => {
    if (seen.has(incoming.socket)) return void incoming.socket.destroy();
    seen.add(incoming.socket);
    outgoing.writeHead(200, { "x-request-nonce": nonce }).end("{}");
  };
  const plainService = await startScriptedUpstream(closeUsed);
  t.teardown(() => plainService.stop());
  const fixture = await createFixture(t, {
    upstreamUrls: { "casefile-1": plainService.url },
  });
  for (let call = 0; call < 4; call++) {
    t.is(
      (await callPlainService(fixture, {
        method: call % 2 === 0 ? "GET" : "POST",
      }))
        .status,
      200,
    );
    if (call === 1) seen.clear();
  }
  t.is(plainService.calls.length, 4);
});
