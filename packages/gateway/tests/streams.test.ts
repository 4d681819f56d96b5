import { once } from "node:events";
import { connect } from "node:net";
import test from "ava";
import { EventStreamSplitter } from "@wasabivane/gateway";
import { Buffer } from "node:buffer";
import {
  type ReceivedRequest,
  responseHead,
  sendRequest,
  startGateway,
  startUpstream,
} from "./helpers/fleet.ts";

const STREAM = { isStreaming: true, target: 300, pauseTarget: 200 } as const;

function formatEvent(id: number, text = `data-${id}`): string {
  return `id: ${id}\ndata: ${text}\n\n`;
}

/** Sends a chunked event stream; `isComplete` adds its final chunk. */
function sendStream(
  received: ReceivedRequest,
  { ids, isComplete }: { ids: readonly number[]; isComplete: boolean },
): void {
  const head = responseHead(received, {
    "content-type": "text/event-stream",
    "transfer-encoding": "chunked",
    mark: `mark-${received.header("upstream")}`,
  });
  const chunks = ids.map((id) => {
    const text = formatEvent(id);
    return `${text.length.toString(16)}\r\n${text}\r\n`;
  });
  received.socket.write(
    head + chunks.join("") + (isComplete ? "0\r\n\r\n" : ""),
  );
}

test("a stream that breaks off is resumed at another upstream without a gap", async (t) => {
  // Guards against lost, repeated or partial events and a change of headers.
  const respond = (received: ReceivedRequest): void => {
    const last = received.header("last-event-id");
    if (last !== undefined) {
      const ids = [Number(last) + 1, Number(last) + 2];
      return sendStream(received, { ids, isComplete: true });
    }
    sendStream(received, { ids: [1, 2], isComplete: false });
    received.socket.write("5\r\nid: 3\r\n");
    setTimeout(() => received.socket.resetAndDestroy(), 20);
  };
  const upstreams = [
    await startUpstream(respond),
    await startUpstream(respond),
  ];
  const host = await startGateway({
    upstreams,
    route: { ...STREAM, repeatability: "resumable" },
  });
  const seen = await sendRequest(host.url);
  t.true(seen.isComplete);
  t.is(seen.body, [1, 2, 3, 4].map((id) => formatEvent(id)).join(""));
  const [first] =
    upstreams.find(({ received }) =>
      received[0]?.header("last-event-id") === undefined
    )!.received;
  t.is(seen.headers.mark, `mark-${first!.header("upstream")}`);
  await host.close();
});

test("an at-most-once stream that breaks off is visibly cut", async (t) => {
  // Guards against a truncated stream that looks complete, and against running
  // twice.
  const upstream = await startUpstream((received) => {
    sendStream(received, { ids: [1, 2], isComplete: false });
    setTimeout(() => received.socket.resetAndDestroy(), 20);
  });
  const host = await startGateway({
    upstreams: [upstream],
    route: { ...STREAM, repeatability: "at-most-once" },
  });
  const seen = await sendRequest(host.url);
  t.is(seen.status, 200);
  t.false(seen.isComplete);
  t.is(upstream.received.length, 1);
  await host.close();
});

test("a stalled stream is resumed elsewhere after its first attempt is aborted", async (t) => {
  // Guards against two upstreams that run one request at the same time.
  let endFirst = (): void => {};
  const firstEnded = new Promise<void>((resolve) => (endFirst = resolve));
  const respond = (received: ReceivedRequest): void => {
    if (received.header("last-event-id") === undefined) {
      received.socket.once("close", () => endFirst());
      return sendStream(received, { ids: [1], isComplete: false });
    }
    void firstEnded.then(() =>
      sendStream(received, { ids: [2], isComplete: true })
    );
  };
  const upstreams = [
    await startUpstream(respond),
    await startUpstream(respond),
  ];
  const host = await startGateway({
    upstreams,
    route: { ...STREAM, repeatability: "resumable" },
  });
  const seen = await sendRequest(host.url);
  t.is(seen.body, formatEvent(1) + formatEvent(2));
  t.true(seen.isComplete);
  await host.close();
});

test("the upstream call is aborted when the caller disconnects", async (t) => {
  const upstream = await startUpstream((received) =>
    sendStream(received, { ids: [1], isComplete: false })
  );
  const host = await startGateway({
    upstreams: [upstream],
    route: { ...STREAM, repeatability: "at-most-once" },
  });
  const { port, hostname } = new URL(host.url);
  const caller = connect(Number(port), hostname);
  caller.write(
    "GET /a/1 HTTP/1.1\r\nhost: plans.example\r\nid: q1\r\nkey: k\r\n\r\n",
  );
  await once(caller, "data");
  const ended = once(upstream.received[0]!.socket, "close");
  caller.destroy();
  await ended;
  t.is(host.gateway.context.placementClient.inFlightTotal, 0);
  await host.close();
});

test("events are split at blank lines wherever the chunks end", (t) => {
  const splitter = new EventStreamSplitter();
  const completeEvents = formatEvent(1) + formatEvent(2) +
    "id: 3\r\ndata: x\r\n\r\n";
  const seen: [string, number | undefined][] = [];
  for (const byte of Buffer.from(completeEvents + "id: 4\nda")) {
    const events = splitter.push(Buffer.from([byte]));
    if (events !== undefined) {
      t.is(events.count, 1);
      seen.push([events.bytes.toString(), events.lastId]);
    }
  }
  t.is(seen.map(([text]) => text).join(""), completeEvents);
  t.deepEqual(seen.map(([, id]) => id), [1, 2, 3]);
  t.is(splitter.takeRemainder().toString(), "id: 4\nda");
});

test("events are counted, and their ids found, wherever the chunks end", (t) => {
  // Guards against ids of incomplete events, and comments taken for events.
  const text = "\n: x\n\nid:7\ndata: a\nid: 8x\nidea: 9\n\n\r\n:\r\n\r\n" +
    `data: ${"y".repeat(300)}\nid: 12\r\n\r\nid: 13\ndata: z\n`;
  const whole = text.lastIndexOf("id: 13");
  for (let size = 1; size <= text.length; size++) {
    const splitter = new EventStreamSplitter();
    let complete = "";
    let count = 0;
    let lastId: number | undefined;
    for (let at = 0; at < text.length; at += size) {
      const events = splitter.push(Buffer.from(text.slice(at, at + size)));
      complete += events?.bytes.toString() ?? "";
      count += events?.count ?? 0;
      lastId = events?.lastId ?? lastId;
    }
    t.deepEqual([complete, count, lastId], [text.slice(0, whole), 2, 12]);
    t.is(splitter.takeRemainder().toString(), text.slice(whole));
  }
});

test("comments and blank lines are counted until events outweigh them", (t) => {
  // Guards against streams of comments, which look alive without an event.
  const splitter = new EventStreamSplitter();
  splitter.push(Buffer.from(": keep-alive\n\n\n\n: part"));
  t.is(splitter.fillerBytes, ": keep-alive\n\n\n\n: part".length);
  splitter.push(
    Buffer.from("\n\ndata: an event that is longer than those\n\n"),
  );
  t.is(splitter.fillerBytes, 0);
});
