import { Buffer } from "node:buffer";
import { setImmediate } from "node:timers/promises";
import {
  asId,
  MemoryBudget,
  type UpstreamId,
  VirtualTimer,
} from "@wasabivane/common";
import test, { type ExecutionContext } from "ava";
import { HeldParts } from "../src/heldParts.ts";
import { Attempt, type AttemptEnd } from "../src/attempt.ts";
import {
  type RunningCall,
  UpstreamConnections,
  type UpstreamListener,
} from "../src/upstreamConnections.ts";
import {
  buildEntry,
  responseHead,
  sendRequest,
  startGateway,
  startUpstream,
} from "./helpers/fleet.ts";
import { PlainDialect } from "./helpers/plainDialect.ts";
import { callTo } from "./helpers/upstreamCalls.ts";

const KIB = 1_024;
const LIMIT_BYTES = 512 * KIB;
const REQUESTS = 6;
const CHUNK = Buffer.alloc(16 * KIB, "x");

/** Connections whose responses a test feeds to the listener. */
class FedConnections extends UpstreamConnections {
  listener: UpstreamListener | undefined;

  override send(_call: unknown, listener: UpstreamListener): RunningCall {
    this.listener = listener;
    return { abort: () => {}, pause: () => {}, resume: () => {} };
  }
}

/** A response that arrives in parts. */
class FedResponse {
  readonly ends: AttemptEnd[] = [];
  forwardedBytes = 0;
  readonly #listener: UpstreamListener;

  constructor(
    memory: MemoryBudget,
    { isStreaming = false, status = 200, endsAtFirstEvent = false }: {
      isStreaming?: boolean;
      status?: number;
      endsAtFirstEvent?: boolean;
    } = {},
  ) {
    const timer = new VirtualTimer();
    const connections = new FedConnections({
      maximumConnections: () => 1,
      timer,
    });
    const upstream = buildEntry("u", { address: "127.0.0.1:9" });
    const attempt = new Attempt({
      upstream,
      call: callTo(upstream),
      connections,
      dialect: new PlainDialect(),
      timer,
      memory,
      deadline: 1_000,
      isUsable: () => true,
      hasEnded: () => Promise.resolve(false),
      requestId: asId<UpstreamId>("a"),
      isStreaming,
      pauseTarget: 0,
      promptTokens: 0,
      silenceTimeouts: undefined,
      onReport: () => {},
      listener: {
        onStreamStart: () => {},
        onEvents: (bytes) => {
          this.forwardedBytes += bytes.length;
          if (endsAtFirstEvent) attempt.abort("cancelled", "caller left");
        },
        onEnd: (end) => this.ends.push(end),
      },
    });
    attempt.start();
    this.#listener = connections.listener!;
    this.#listener.shouldSend();
    this.#listener.sent();
    this.#listener.head(status, { id: "a", mark: "m" });
  }

  receive(bytes: number): void {
    for (let sum = 0; sum < bytes; sum += CHUNK.length) {
      this.#listener.data(CHUNK);
    }
  }

  receiveChunk(text: string): void {
    this.#listener.data(Buffer.from(text));
  }

  async finish(): Promise<void> {
    this.#listener.data(Buffer.from("\n\n"));
    this.#listener.ended();
    await setImmediate();
  }

  get outcome(): string | undefined {
    return this.ends[0]?.outcome;
  }
}

test("held parts of any sizes are joined in their order", (t) => {
  // Guards against bytes that are lost or moved between small and large parts.
  const sizes = [1, 2, 20 * KIB, 3, 40 * KIB, 64 * KIB, 5, 6, 1];
  for (let from = 0; from < sizes.length; from++) {
    for (let to = from; to <= sizes.length; to++) {
      const parts = sizes.slice(from, to)
        .map((size, index) => Buffer.alloc(size, index + 1));
      const held = new HeldParts();
      for (const part of parts) held.add(part);
      const all = Buffer.concat(parts);
      t.is(held.length, all.length);
      t.true(held.take().equals(all));
      t.is(held.length, 0);
      for (const part of parts) held.add(part);
      const last = Buffer.from("last");
      t.true(held.takeWith(last).equals(Buffer.concat([all, last])));
    }
  }
});

test("incomplete events share a limit, and small ones always fit", async (t) => {
  // Guards against hosts that outgrow their memory by many events at once.
  const memory = new MemoryBudget({ limit: LIMIT_BYTES });
  const responses = Array.from(
    { length: 8 },
    () => new FedResponse(memory, { isStreaming: true }),
  );
  for (const response of responses) response.receive(256 * KIB);
  const kept = responses.filter(({ outcome }) => outcome === undefined);
  t.is(kept.length, 2);
  t.true(memory.used <= LIMIT_BYTES);
  for (const { ends } of responses.filter(({ outcome }) => outcome)) {
    t.like(ends, [{ outcome: "broken", detail: "no memory for the response" }]);
  }
  const small = new FedResponse(memory, { isStreaming: true });
  small.receive(48 * KIB);
  for (const response of [...kept, small]) {
    await response.finish();
    t.is(response.outcome, "whole");
  }
  t.is(small.forwardedBytes, 48 * KIB + 2);
  t.is(memory.used, 0);
});

test("plain responses without memory are passed on as they come, and failures end", async (t) => {
  // Guards against responses that are lost, or kept whole, for lack of memory.
  const memory = new MemoryBudget({ limit: LIMIT_BYTES });
  const other = memory.reserve(LIMIT_BYTES);
  const success = new FedResponse(memory);
  const failure = new FedResponse(memory, { status: 500 });
  for (const response of [success, failure]) response.receive(256 * KIB);
  t.is(success.forwardedBytes, 256 * KIB);
  t.is(failure.outcome, "broken");
  await success.finish();
  t.is(success.outcome, "whole");
  other?.release();
  t.is(memory.used, 0);
});

test("an upstream whose responses find no memory stays in use", async (t) => {
  // Guards against a faulty upstream that has sound ones ejected.
  const event = `data: ${"x".repeat(256 * KIB)}\n\n`;
  const upstream = await startUpstream((received) => {
    const headers = { "content-length": event.length };
    received.socket.write(responseHead(received, headers) + event);
  });
  const host = await startGateway({
    upstreams: [upstream],
    memoryLimit: 8 * KIB * KIB,
    route: { isStreaming: true, maximumAttempts: 1 },
  });
  t.teardown(() => host.close());
  const { memory, metrics } = host.gateway.context;
  const other = memory.responses.reserve(memory.responses.limit);
  for (let count = 0; count < REQUESTS; count++) {
    t.is((await sendRequest(host.url)).status, 502);
  }
  t.regex(
    await metrics.text(),
    new RegExp(`"responses_over_memory"} ${REQUESTS}\\b`),
  );
  t.false(host.lines.some(({ event }) => event === "upstream_ejected"));
  other?.release();
  const { body } = await sendRequest(host.url);
  t.is(body.length, event.length);
});

test("a response that ends while it is passed on holds no memory", (t) => {
  // Guards against memory that is reserved behind its release, and kept.
  const memory = new MemoryBudget({ limit: LIMIT_BYTES });
  const response = new FedResponse(memory, {
    isStreaming: true,
    endsAtFirstEvent: true,
  });
  response.receiveChunk(`data: x\n\ndata: ${"x".repeat(256 * KIB)}`);
  t.is(response.outcome, "cancelled");
  t.is(memory.used, 0);
});

/** Sends a response in parts through a host, and returns the bytes that came. */
async function relayParts(
  t: ExecutionContext,
  { part, count }: { part: string; count: number },
): Promise<number> {
  const upstream = await startUpstream((received) => {
    const head = responseHead(received, { "transfer-encoding": "chunked" });
    const chunk = `${part.length.toString(16)}\r\n${part}\r\n`;
    received.socket.write(`${head}${chunk.repeat(count)}0\r\n\r\n`);
  });
  const host = await startGateway({ upstreams: [upstream] });
  t.teardown(() => host.close());
  const { body } = await sendRequest(host.url);
  return body.length;
}

test("a response in parts of four bytes is served whole", async (t) => {
  // Guards against a limit on framing that sound responses exceed.
  const count = 200 * KIB;
  t.is(await relayParts(t, { part: "abcd", count }), 4 * count);
});

test("a response in small parts is served whole though its reading pauses", async (t) => {
  // Guards against bytes that are counted as framing before they are parsed.
  const count = 512 * KIB;
  t.is(await relayParts(t, { part: "x".repeat(9), count }), 9 * count);
});
