import test, { type ExecutionContext } from "ava";
import { expectedResponse, tokenCountMarker } from "@wasabivane/engine-model";
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
const LONG_PROMPT = `Draft ${tokenCountMarker(500_000)}`;
const KIBIBYTE = 1_024;

async function createFixture(
  t: ExecutionContext,
  options: EntryFixtureOptions = {},
): Promise<EntryFixture> {
  const fixture = await startEntryFixture(options);
  t.teardown(() => fixture.stop());
  return fixture;
}

function runStates({ engines }: EntryFixture): string[] {
  return engines.flatMap(({ state }) =>
    Object.values(state.runs).map(({ state }) => state)
  );
}

async function assertCancelled(
  t: ExecutionContext,
  fixture: EntryFixture,
): Promise<void> {
  await until(() => runStates(fixture)[0] === "cancelled");
  await until(() => fixture.status().openExchanges === 0);
  t.deepEqual(runStates(fixture), ["cancelled"]);
}

test("a disconnect during a stream cancels the engine's run", async (t) => {
  const fixture = await createFixture(t);
  const abort = new AbortController();
  const response = await openChat(fixture, {
    prompt: LONG_PROMPT,
    signal: abort.signal,
  });
  await response.body!.getReader().read();
  abort.abort();
  await assertCancelled(t, fixture);
});

test("a disconnect before a non-streamed response cancels the engine's run", async (t) => {
  const fixture = await createFixture(t);
  const abort = new AbortController();
  const response = openChat(fixture, {
    prompt: LONG_PROMPT,
    stream: false,
    signal: abort.signal,
  });
  await until(() => runStates(fixture).length === 1);
  abort.abort();
  await t.throwsAsync(response, { any: true });
  await assertCancelled(t, fixture);
});

// A half-close cannot be distinguished from a full close, so both must cancel.
test("a half-close after the request counts as a disconnect", async (t) => {
  const fixture = await createFixture(t);
  const socket = await openSocket(fixture.callerPort);
  const response = readRawResponse(socket);
  socket.write(chatBytes(LONG_PROMPT));
  await until(() => runStates(fixture).length === 1);
  socket.end();
  t.false((await response)?.body.includes("[DONE]") ?? false);
  await assertCancelled(t, fixture);
});

// Guards against a problem document that the caller would take for the response
// of the running request.
test("garbage after a running request breaks the connection without a document", async (t) => {
  const fixture = await createFixture(t);
  const socket = await openSocket(fixture.callerPort);
  const response = readRawResponse(socket);
  socket.write(chatBytes(LONG_PROMPT, { stream: false }));
  await until(() => runStates(fixture).length === 1);
  socket.write("garbage\r\n\r\n");
  t.is(await response, undefined);
  await assertCancelled(t, fixture);
});

// Guards against a problem document for the second request that the caller
// would take for the response of the first.
test("a malformed request after a running one breaks the connection without a document", async (t) => {
  const fixture = await createFixture(t);
  const socket = await openSocket(fixture.callerPort);
  const response = readRawResponse(socket);
  socket.write(chatBytes(LONG_PROMPT, { stream: false }));
  await until(() => runStates(fixture).length === 1);
  socket.write(
    "POST /casefile HTTP/1.1\r\nHost: entry\r\nTransfer-Encoding: chunked\r\n\r\n",
  );
  socket.write("zz\r\n");
  t.is(await response, undefined);
  await assertCancelled(t, fixture);
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

// Guards against buffering a complete response while the caller does not read.
test("a caller that does not read blocks the upstream", async (t) => {
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
  const fixture = await createFixture(t, {
    upstreamUrls: { "drafter-01": engine.url },
  });
  const socket = await openSocket(fixture.callerPort);
  socket.pause();
  socket.write(chatBytes("Draft"));
  await until(() => sent > 0);
  const maximumIdlePolls = 200;
  await until(() => sent === events || ++polls > maximumIdlePolls);
  t.true(sent < events / 2, `${sent} of ${events} events left the upstream`);
  socket.destroy();
  await until(() => isClosed);
  await until(() => fixture.status().openExchanges === 0);
});

test("methods, queries and absolute targets reach a plain service unchanged", async (t) => {
  const fixture = await createFixture(t);
  for (const method of ["GET", "PUT", "PATCH", "DELETE", "OPTIONS", "POST"]) {
    const path = `/casefile/caf%C3%A9/100%25?q=a%20b&r=../x`;
    const response = await fetch(`${fixture.callerUrl}${path}`, {
      method,
      headers: { authorization: bearer() },
    });
    const echo = await response.json() as { method: string; path: string };
    t.is(echo.method, method);
    t.is(echo.path, path);
  }
  const head = await fetch(`${fixture.callerUrl}/casefile`, {
    method: "HEAD",
    headers: { authorization: bearer() },
  });
  t.is(head.status, 200);
  t.is(await head.text(), "");
  const socket = await openSocket(fixture.callerPort);
  const response = readRawResponse(socket);
  socket.write(
    `GET http://elsewhere/casefile/a?b HTTP/1.1\r\nHost: entry\r\nAuthorization: ${bearer()}\r\nConnection: close\r\n\r\n`,
  );
  t.regex((await response)!.body, /"path":"\/casefile\/a\?b"/);
});

let keyCount = 0;

function bareKey(): string {
  const time = Date.now().toString(16).padStart(12, "0");
  const last = String(keyCount++).padStart(12, "0");
  return `${time.slice(0, 8)}-${time.slice(8)}-7000-8000-${last}`;
}

test("equal keys of two accounts are independent", async (t) => {
  const fixture = await createFixture(t);
  const prompt = `Draft ${tokenCountMarker(TOKENS)}`;
  let key = bareKey();
  let first = await sendChat(fixture, { prompt, headers: keyHeaders(key) });
  // A key's home refuses keys that are older than its tenure, which has just
  // begun.
  while (first.problem?.detail === "older-than-tenure") {
    key = bareKey();
    first = await sendChat(fixture, { prompt, headers: keyHeaders(key) });
  }
  t.is(first.content, expectedResponse(prompt, TOKENS));
  const account = "tenjin-family-law";
  const second = await sendChat(fixture, {
    prompt,
    account,
    headers: keyHeaders(key),
  });
  t.is(second.content, expectedResponse(prompt, TOKENS));
  t.deepEqual(runStates(fixture), ["finished", "finished"]);
  t.is(fixture.counter("key.joined"), 0);
  const again = await sendChat(fixture, { prompt, headers: keyHeaders(key) });
  t.is(again.content, first.content);
  t.is(runStates(fixture).length, 2);
});

function keyHeaders(key: string): Record<string, string> {
  return { "idempotency-key": key };
}

test("a ticket of another account runs nothing and reveals nothing", async (t) => {
  const fixture = await createFixture(t);
  const minted = await fetch(`${fixture.callerUrl}/v1/tickets`, {
    method: "POST",
    headers: { authorization: bearer() },
  });
  const { key } = await minted.json() as { key: string };
  const headers = { "idempotency-key": key };
  const prompt = `Draft ${tokenCountMarker(TOKENS)}`;
  const own = await sendChat(fixture, { prompt, headers });
  t.true(own.isComplete);
  const account = "tenjin-family-law";
  const other = await sendChat(fixture, { prompt, account, headers });
  t.false(other.isComplete);
  t.false(other.text.includes("hakata"));
  t.deepEqual(runStates(fixture), ["finished"]);
});
