import test, { type ExecutionContext } from "ava";
import { expectedAnswer, markTokens } from "@wasabivane/engine-model";
import { openChat, sendChat } from "./helpers/chatClient.ts";
import {
  bearer,
  type EntryFixture,
  type EntryFixtureOptions,
  startEntryFixture,
  until,
} from "./helpers/entryFixture.ts";
import { openSocket, readRawResponse } from "./helpers/rawHttp.ts";
import { startScriptedUpstream } from "./helpers/scriptedUpstream.ts";

const TOKENS = 20;
const ENDLESS = `Draft ${markTokens(500_000)}`;
const KIBIBYTE = 1_024;

async function withBench(
  t: ExecutionContext,
  options: EntryFixtureOptions = {},
): Promise<EntryFixture> {
  const bench = await startEntryFixture(options);
  t.teardown(() => bench.stop());
  return bench;
}

function states({ engines }: EntryFixture): string[] {
  return engines.flatMap(({ state }) =>
    Object.values(state.runs).map(({ state }) => state)
  );
}

async function assertCancelled(
  t: ExecutionContext,
  bench: EntryFixture,
): Promise<void> {
  await until(() => states(bench)[0] === "cancelled");
  await until(() => bench.status().openExchanges === 0);
  t.deepEqual(states(bench), ["cancelled"]);
}

test("a caller that hangs up within a stream cancels the engine's work", async (t) => {
  const bench = await withBench(t);
  const abort = new AbortController();
  const answer = await openChat(bench, {
    prompt: ENDLESS,
    signal: abort.signal,
  });
  await answer.body!.getReader().read();
  abort.abort();
  await assertCancelled(t, bench);
});

test("a caller that hangs up before a whole answer cancels the engine's work", async (t) => {
  const bench = await withBench(t);
  const abort = new AbortController();
  const answer = openChat(bench, {
    prompt: ENDLESS,
    stream: false,
    signal: abort.signal,
  });
  await until(() => states(bench).length === 1);
  abort.abort();
  await t.throwsAsync(answer, { any: true });
  await assertCancelled(t, bench);
});

// A client that closes its connection sends the same segment as one that only
// closes its sending half, so the two cannot be told apart until it is too late.
test("a caller that closes its half after a request has hung up", async (t) => {
  const bench = await withBench(t);
  const socket = await openSocket(bench.callerPort);
  const answer = readRawResponse(socket);
  socket.write(chatBytes(ENDLESS));
  await until(() => states(bench).length === 1);
  socket.end();
  t.false((await answer)?.body.includes("[DONE]") ?? false);
  await assertCancelled(t, bench);
});

// Garbage behind a request that runs must not be answered: the caller would
// take that document, which says "not-run", for the answer of the request.
test("garbage behind a running request breaks the connection without a document", async (t) => {
  const bench = await withBench(t);
  const socket = await openSocket(bench.callerPort);
  const answer = readRawResponse(socket);
  socket.write(chatBytes(ENDLESS, { stream: false }));
  await until(() => states(bench).length === 1);
  socket.write("garbage\r\n\r\n");
  t.is(await answer, undefined);
  await assertCancelled(t, bench);
});

// The second request is broken, but the first one runs, and the document of
// the second would be taken for the answer of the first.
test("a broken request behind a running one breaks the connection without a document", async (t) => {
  const bench = await withBench(t);
  const socket = await openSocket(bench.callerPort);
  const answer = readRawResponse(socket);
  socket.write(chatBytes(ENDLESS, { stream: false }));
  await until(() => states(bench).length === 1);
  socket.write(
    "POST /casefile HTTP/1.1\r\nHost: entry\r\nTransfer-Encoding: chunked\r\n\r\n",
  );
  socket.write("zz\r\n");
  t.is(await answer, undefined);
  await assertCancelled(t, bench);
});

function chatBytes(prompt: string, { stream = true } = {}): string {
  const messages = [{ role: "user", content: prompt }];
  const body = JSON.stringify({ model: "drafter", messages, stream });
  return [
    "POST /v1/chat/completions HTTP/1.1",
    "Host: entry",
    `Authorization: ${bearer()}`,
    `Content-Length: ${body.length}`,
    "",
    body,
  ].join("\r\n");
}

// The upstream has far more to send than the sockets between hold. When the
// caller does not read, the upstream must come to stand; if this host read on,
// its memory would take the whole answer.
test("a caller that does not read holds the upstream, not this host's memory", async (t) => {
  const eventBytes = 32 * KIBIBYTE;
  const events = 4 * KIBIBYTE;
  let sent = 0;
  let polls = 0;
  let isClosed = false;
  const engine = await startScriptedUpstream(async ({ outgoing, nonce }) => {
    outgoing.on("close", () => (isClosed = true));
    outgoing.writeHead(200, { "x-request-nonce": nonce });
    const content = "x".repeat(eventBytes);
    const choices = [{ index: 0, delta: { content } }];
    const event = `data: ${
      JSON.stringify({ id: `chatcmpl-${nonce}`, choices })
    }\n\n`;
    while (sent < events && !isClosed) {
      polls = 0;
      sent++;
      if (!outgoing.write(event)) {
        await until(() => isClosed || !outgoing.writableNeedDrain);
      }
    }
  });
  t.teardown(() => engine.stop());
  const bench = await withBench(t, {
    upstreamUrls: { "drafter-01": engine.url },
  });
  const socket = await openSocket(bench.callerPort);
  socket.pause();
  socket.write(chatBytes("Draft"));
  await until(() => sent > 0);
  const standsStill = 200;
  await until(() => sent === events || ++polls > standsStill);
  t.true(sent < events / 2, `${sent} of ${events} events left the upstream`);
  socket.destroy();
  await until(() => isClosed);
  await until(() => bench.status().openExchanges === 0);
});

test("methods, queries and absolute targets reach a plain service as they are", async (t) => {
  const bench = await withBench(t);
  for (const method of ["GET", "PUT", "PATCH", "DELETE", "OPTIONS", "POST"]) {
    const path = `/casefile/caf%C3%A9/100%25?q=a%20b&r=../x`;
    const answer = await fetch(`${bench.callerUrl}${path}`, {
      method,
      headers: { authorization: bearer() },
    });
    const echo = await answer.json() as { method: string; path: string };
    t.is(echo.method, method);
    t.is(echo.path, path);
  }
  const head = await fetch(`${bench.callerUrl}/casefile`, {
    method: "HEAD",
    headers: { authorization: bearer() },
  });
  t.is(head.status, 200);
  t.is(await head.text(), "");
  const socket = await openSocket(bench.callerPort);
  const answer = readRawResponse(socket);
  socket.write(
    `GET http://elsewhere/casefile/a?b HTTP/1.1\r\nHost: entry\r\nAuthorization: ${bearer()}\r\nConnection: close\r\n\r\n`,
  );
  t.regex((await answer)!.body, /"path":"\/casefile\/a\?b"/);
});

let keys = 0;

function bareKey(): string {
  const time = Date.now().toString(16).padStart(12, "0");
  const last = String(keys++).padStart(12, "0");
  return `${time.slice(0, 8)}-${time.slice(8)}-7000-8000-${last}`;
}

test("the same key of two accounts is two keys", async (t) => {
  const bench = await withBench(t);
  const prompt = `Draft ${markTokens(TOKENS)}`;
  let key = bareKey();
  let first = await sendChat(bench, { prompt, headers: keyed(key) });
  // A key's home answers for no key older than its own tenure, which has just begun.
  while (first.problem?.detail === "older-than-tenure") {
    key = bareKey();
    first = await sendChat(bench, { prompt, headers: keyed(key) });
  }
  t.is(first.content, expectedAnswer(prompt, TOKENS));
  const account = "tenjin-family-law";
  const second = await sendChat(bench, {
    prompt,
    account,
    headers: keyed(key),
  });
  t.is(second.content, expectedAnswer(prompt, TOKENS));
  t.deepEqual(states(bench), ["finished", "finished"]);
  t.is(bench.counter("key.joined"), 0);
  const again = await sendChat(bench, { prompt, headers: keyed(key) });
  t.is(again.content, first.content);
  t.is(states(bench).length, 2);
});

function keyed(key: string): Record<string, string> {
  return { "idempotency-key": key };
}

test("a ticket of another account starts nothing and tells nothing of it", async (t) => {
  const bench = await withBench(t);
  const minted = await fetch(`${bench.callerUrl}/v1/tickets`, {
    method: "POST",
    headers: { authorization: bearer() },
  });
  const { key } = await minted.json() as { key: string };
  const headers = { "idempotency-key": key };
  const prompt = `Draft ${markTokens(TOKENS)}`;
  const own = await sendChat(bench, { prompt, headers });
  t.true(own.isComplete);
  const account = "tenjin-family-law";
  const other = await sendChat(bench, { prompt, account, headers });
  t.false(other.isComplete);
  t.false(other.text.includes("hakata"));
  t.deepEqual(states(bench), ["finished"]);
});
