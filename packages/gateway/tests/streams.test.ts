import { once } from "node:events";
import { connect } from "node:net";
import test from "ava";
import { EventFrames } from "@wasabivane/gateway";
import { Buffer } from "node:buffer";
import {
  goodHead,
  type ReceivedRequest,
  sendRequest,
  startGateway,
  startUpstream,
} from "./helpers/fleet.ts";

const STREAM = { isStreaming: true, target: 300, pauseTarget: 200 } as const;

function event(id: number, text = `data-${id}`): string {
  return `id: ${id}\ndata: ${text}\n\n`;
}

/** A chunked stream of events; `isWhole` closes it properly. */
function sendStream(
  received: ReceivedRequest,
  { ids, isWhole }: { ids: readonly number[]; isWhole: boolean },
): void {
  const head = goodHead(received, {
    "content-type": "text/event-stream",
    "transfer-encoding": "chunked",
    mark: `mark-${received.field("upstream")}`,
  });
  const chunks = ids.map((id) => {
    const text = event(id);
    return `${text.length.toString(16)}\r\n${text}\r\n`;
  });
  received.socket.write(head + chunks.join("") + (isWhole ? "0\r\n\r\n" : ""));
}

test("a stream that breaks off goes on at another upstream without a gap", async (t) => {
  // The first upstream crashes in the middle of its third event. The caller must
  // see one stream: head and mark of the first, every event once, a proper end.
  const answer = (received: ReceivedRequest): void => {
    const last = received.field("last-event-id");
    if (last !== undefined) {
      const ids = [Number(last) + 1, Number(last) + 2];
      return sendStream(received, { ids, isWhole: true });
    }
    sendStream(received, { ids: [1, 2], isWhole: false });
    received.socket.write("5\r\nid: 3\r\n");
    setTimeout(() => received.socket.resetAndDestroy(), 20);
  };
  const upstreams = [await startUpstream(answer), await startUpstream(answer)];
  const fleet = await startGateway({
    upstreams,
    route: { ...STREAM, repeatability: "resumable" },
  });
  const seen = await sendRequest(fleet.url);
  t.true(seen.isWhole);
  t.is(seen.body, [1, 2, 3, 4].map((id) => event(id)).join(""));
  const [first] =
    upstreams.find(({ received }) =>
      received[0]?.field("last-event-id") === undefined
    )!.received;
  t.is(seen.headers.mark, `mark-${first!.field("upstream")}`);
  await fleet.close();
});

test("a stream that must not run again looks cut when it breaks off", async (t) => {
  // The upstream crashes after two events. Ending the answer properly would make
  // half an answer look whole; sending it again could run it twice.
  const upstream = await startUpstream((received) => {
    sendStream(received, { ids: [1, 2], isWhole: false });
    setTimeout(() => received.socket.resetAndDestroy(), 20);
  });
  const fleet = await startGateway({
    upstreams: [upstream],
    route: { ...STREAM, repeatability: "at-most-once" },
  });
  const seen = await sendRequest(fleet.url);
  t.is(seen.status, 200);
  t.false(seen.isWhole);
  t.is(upstream.received.length, 1);
  await fleet.close();
});

test("a stream that stalls goes on elsewhere, after the first run was ended", async (t) => {
  // The first upstream hangs after one event while its connection stands. Its run
  // is ended, so that no two runs work on one request; the second upstream here
  // answers only once the connection of the first is closed.
  let endFirst = (): void => {};
  const firstEnded = new Promise<void>((resolve) => (endFirst = resolve));
  const answer = (received: ReceivedRequest): void => {
    if (received.field("last-event-id") === undefined) {
      received.socket.once("close", () => endFirst());
      return sendStream(received, { ids: [1], isWhole: false });
    }
    void firstEnded.then(() =>
      sendStream(received, { ids: [2], isWhole: true })
    );
  };
  const upstreams = [await startUpstream(answer), await startUpstream(answer)];
  const fleet = await startGateway({
    upstreams,
    route: { ...STREAM, repeatability: "resumable" },
  });
  const seen = await sendRequest(fleet.url);
  t.is(seen.body, event(1) + event(2));
  t.true(seen.isWhole);
  await fleet.close();
});

test("when the caller leaves, its upstream stops working", async (t) => {
  const upstream = await startUpstream((received) =>
    sendStream(received, { ids: [1], isWhole: false })
  );
  const fleet = await startGateway({
    upstreams: [upstream],
    route: { ...STREAM, repeatability: "at-most-once" },
  });
  const { port, hostname } = new URL(fleet.url);
  const caller = connect(Number(port), hostname);
  caller.write(
    "GET /a/1 HTTP/1.1\r\nhost: plans.example\r\nid: q1\r\nkey: k\r\n\r\n",
  );
  await once(caller, "data");
  const ended = once(upstream.received[0]!.socket, "close");
  caller.destroy();
  await ended;
  t.is(fleet.gateway.context.places.inFlightTotal, 0);
  await fleet.close();
});

test("events are cut at blank lines wherever the chunks end", (t) => {
  const frames = new EventFrames();
  const whole = event(1) + event(2) + "id: 3\r\ndata: x\r\n\r\n";
  const seen: [string, number | undefined][] = [];
  for (const byte of Buffer.from(whole + "id: 4\nda")) {
    for (const frame of frames.push(Buffer.from([byte]))) {
      seen.push([frame.bytes.toString(), frame.id]);
    }
  }
  t.is(seen.map(([text]) => text).join(""), whole);
  t.deepEqual(seen.map(([, id]) => id), [1, 2, 3]);
  t.is(frames.rest.toString(), "id: 4\nda");
});
