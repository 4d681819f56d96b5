import { Buffer } from "node:buffer";
import type { Socket } from "node:net";
import test, { type ExecutionContext } from "ava";
import {
  type GatewayStartOptions,
  type RawUpstream,
  responseHead,
  type RunningGateway,
  sendRequest,
  startGateway,
  startUpstream,
  waitUntil,
} from "./helpers/fleet.ts";
import { OverheadLimit } from "../src/overheadLimit.ts";
import { startServing } from "./helpers/simpleUpstreams.ts";

const MIB = 1_024 * 1_024;
const CHUNK_BYTES = 64 * 1_024;
/** Bytes that a host may take from a connection, besides what the kernel holds. */
const LIMIT_BYTES = 4 * MIB;
const OTHER_REQUESTS = 20;
const TIMEOUT_MS = 5_000;
/** Bytes that may be in the kernel's buffers of one connection. */
const KERNEL_BYTES = 8 * MIB;

/** An upstream that sends bytes without end from some point on. */
interface Flood {
  readonly upstream: RawUpstream;
  /** Bytes that left the process, over all connections. */
  sentBytes(): number;
  /** Whether all connections with bytes without end are closed. */
  isClosed(): boolean;
}

/** Starts an upstream that follows each beginning with filling, without end. */
async function startFlood(
  beginning: (received: Parameters<typeof responseHead>[0]) => string,
  filling: string,
): Promise<Flood> {
  const sockets: Socket[] = [];
  const chunk = Buffer.from(
    filling.repeat(Math.ceil(CHUNK_BYTES / filling.length)),
  );
  const flood = (socket: Socket): void => {
    if (socket.destroyed) return;
    socket.write(chunk, () => setImmediate(() => flood(socket)));
  };
  const upstream = await startUpstream((received) => {
    const { socket } = received;
    sockets.push(socket);
    socket.write(beginning(received), () => flood(socket));
  });
  return {
    upstream,
    sentBytes: () =>
      sockets.reduce(
        (sum, socket) => sum + socket.bytesWritten - socket.writableLength,
        0,
      ),
    isClosed: () =>
      sockets.length > 0 && sockets.every((socket) => socket.destroyed),
  };
}

interface Scene {
  readonly host: RunningGateway;
  readonly flood: Flood;
}

async function startScene(
  t: ExecutionContext,
  flood: Flood,
  options: Partial<GatewayStartOptions> = {},
): Promise<Scene> {
  const host = await startGateway({
    upstreams: [flood.upstream],
    ...options,
    route: { timeout: TIMEOUT_MS, ...options.route },
  });
  t.teardown(() => host.close());
  return { host, flood };
}

/** Checks that the connection is closed soon, and that others are served. */
async function checkBounds(
  t: ExecutionContext,
  { host, flood }: Scene,
): Promise<void> {
  await waitUntil(flood.isClosed);
  t.log({ sent: flood.sentBytes() });
  t.true(flood.sentBytes() <= LIMIT_BYTES + KERNEL_BYTES);
  const sound = await startServing();
  t.teardown(() => sound.close());
  const other = await startGateway({ upstreams: [sound] });
  t.teardown(() => other.close());
  for (let count = 0; count < OTHER_REQUESTS; count++) {
    t.is((await sendRequest(other.url)).status, 200);
  }
  t.true(host.gateway.isReady);
}

const HEAD = "HTTP/1.1 200 OK\r\n";

/** Beginnings and fillings by the place of the bytes without end. */
const PLACES: Readonly<
  Record<
    string,
    {
      beginning: (received: Parameters<typeof responseHead>[0]) => string;
      filling: string;
      isWhole?: boolean;
    }
  >
> = {
  "before the head": { beginning: () => "", filling: "x" },
  "in a header": { beginning: () => `${HEAD}a: `, filling: "x" },
  "in headers": { beginning: () => HEAD, filling: "a: b\r\n" },
  "in interim heads": {
    beginning: () => "",
    filling: "HTTP/1.1 103 Early Hints\r\n\r\n",
  },
  "after a whole response": {
    beginning: (received) =>
      `${responseHead(received, { "content-length": 2 })}ok`,
    filling: "x",
    isWhole: true,
  },
  "of blank lines before the head": { beginning: () => "", filling: "\r\n" },
  "of blank lines after a whole response": {
    beginning: (received) =>
      `${responseHead(received, { "content-length": 2 })}ok`,
    filling: "\r\n",
    isWhole: true,
  },
  "in a chunk extension": {
    beginning: (received) =>
      `${responseHead(received, { "transfer-encoding": "chunked" })}2;a=`,
    filling: "x",
  },
  "in trailers": {
    beginning: (received) =>
      `${
        responseHead(received, { "transfer-encoding": "chunked" })
      }2\r\nok\r\n0\r\n`,
    filling: "a: b\r\n",
  },
};

for (
  const [place, { beginning, filling, isWhole = false }] of Object.entries(
    PLACES,
  )
) {
  test.serial(`bytes without end ${place} are not read on`, async (t) => {
    // Guards against a host that reads what is no response until it ends.
    const scene = await startScene(t, await startFlood(beginning, filling));
    const { status } = await sendRequest(scene.host.url);
    t.is(status, isWhole ? 200 : 502);
    await checkBounds(t, scene);
  });
}

const CHUNKED = { "transfer-encoding": "chunked" };
const ONE_BYTE_CHUNK = "1\r\nx\r\n";

for (const isStreaming of [false, true]) {
  const kind = isStreaming ? "an event" : "a plain response";
  test.serial(`${kind} in chunks of one byte without end is not read on`, async (t) => {
    // Guards against hosts that end while they hold one object for each byte.
    const flood = await startFlood(
      (received) =>
        responseHead(received, CHUNKED) + "10\r\nid: 1\ndata: x\n\n:\r\n",
      ONE_BYTE_CHUNK,
    );
    const scene = await startScene(t, flood, { route: { isStreaming } });
    const { isComplete, status } = await sendRequest(scene.host.url);
    t.true(!isComplete || status === 502);
    await checkBounds(t, scene);
  });
}

const FILLINGS: Readonly<Record<string, string>> = {
  "blank lines": "\n",
  "comments": ": x\n\n",
  "comment lines": ": x\n",
};

for (const [name, filling] of Object.entries(FILLINGS)) {
  test.serial(`a stream of ${name} without end is cut`, async (t) => {
    // Guards against hosts that are busy with what carries no event.
    const flood = await startFlood(
      (received) => `${responseHead(received)}id: 1\ndata: x\n\n`,
      filling,
    );
    const scene = await startScene(t, flood, { route: { isStreaming: true } });
    const { isComplete, body } = await sendRequest(scene.host.url);
    t.false(isComplete);
    t.true(body.startsWith("id: 1\ndata: x\n\n"));
    t.true(body.length < MIB);
    await checkBounds(t, scene);
  });
}

test("payload in small parts is bounded, and sound events go on without end", (t) => {
  // Guards against a limit for the time between two parts, which one byte resets.
  const partsUntilExcess = (size: number, framing: number): number => {
    const limit = new OverheadLimit();
    let parts = 0;
    for (; parts < MIB && !limit.isExceeded; parts++) {
      limit.count(size + framing);
      limit.recordPayload(size);
    }
    return parts;
  };
  t.true(partsUntilExcess(1, 5) < 33_000);
  t.true(partsUntilExcess(1, 0) < 44_000);
  t.is(partsUntilExcess("data: x\n\n".length, 5), MIB);
  t.is(partsUntilExcess(CHUNK_BYTES, 8), MIB);
});

test.serial("a stream whose event does not end is cut", async (t) => {
  // Guards against a host that keeps and searches an event of any size.
  const flood = await startFlood(
    (received) => `${responseHead(received)}id: 1\ndata: x\n\ndata: `,
    "x",
  );
  const scene = await startScene(t, flood, { route: { isStreaming: true } });
  const { isComplete, body } = await sendRequest(scene.host.url);
  t.false(isComplete);
  t.is(body, "id: 1\ndata: x\n\n");
  await checkBounds(t, scene);
});

test.serial("a plain body without end is read no faster than its caller reads, and ends with the route's time", async (t) => {
  // Guards against bodies that fill a host's memory.
  const flood = await startFlood(
    (received) =>
      responseHead(received, { "content-length": Number.MAX_SAFE_INTEGER }),
    "x",
  );
  const scene = await startScene(t, flood, { route: { timeout: 1_000 } });
  const { connect } = await import("node:net");
  const caller = connect(Number(new URL(scene.host.url).port), "127.0.0.1");
  caller.on("error", () => {});
  caller.write(
    "POST /a/1 HTTP/1.1\r\nhost: plans.example\r\nid: q\r\nkey: k\r\ncontent-length: 0\r\n\r\n",
  );
  caller.pause();
  await waitUntil(flood.isClosed);
  caller.destroy();
  t.log({ sent: flood.sentBytes() });
  t.true(flood.sentBytes() <= LIMIT_BYTES + 2 * KERNEL_BYTES);
});
