import { createSocket } from "node:dgram";
import { once } from "node:events";
import test, { type ExecutionContext } from "ava";
import { exampleBundle } from "@wasabivane/bundle";
import {
  asTier,
  MemoryMetrics,
  Metrics,
  type MetricTags,
  VirtualTimer,
} from "@wasabivane/common";
import {
  acceptRequest,
  BoundedTag,
  OTHER_TAG_VALUE,
  RequestMetrics,
  StatsdMetrics,
} from "@wasabivane/entry";
import { createChatRequest } from "./helpers/createChatRequest.ts";

const ACCOUNTS = 1_100;
const NAMED = 200;

test("counters and histograms reach the metrics daemon with their tags", async (t) => {
  const { port, lines } = await listenUdp(t);
  const memory = new MemoryMetrics();
  const timer = new VirtualTimer();
  const metrics = new StatsdMetrics(memory, {
    address: "127.0.0.1",
    port,
    timer,
  });
  metrics.count("request.ended", 2, { ending: "whole", tier: 1 });
  metrics.observe("request.whole_ms", 12.5, { tier: 1, account: "a" });
  await metrics.close();
  while (lines.length < 2) await lines.more();
  t.deepEqual([...lines].sort(), [
    "wasabivane.request.ended:2|c|#ending:whole,tier:1",
    "wasabivane.request.whole_ms:12.5|d|#tier:1,account:a",
  ]);
  t.is(memory.counter("request.ended", { ending: "whole", tier: 1 }), 2);
});

test("the number of distinct account tags is limited", async (t) => {
  const { port, lines } = await listenUdp(t);
  const timer = new VirtualTimer();
  const metrics = new StatsdMetrics(new MemoryMetrics(), {
    address: "127.0.0.1",
    port,
    timer,
  });
  for (let account = 0; account < ACCOUNTS; account++) {
    metrics.observe("request.whole_ms", account, { account: `a${account}` });
  }
  await metrics.close();
  while (lines.length < ACCOUNTS) await lines.more();
  const names = new Set(lines.map((line) => line.split("account:")[1]));
  t.is(names.size, NAMED + 1);
  t.true(names.has(OTHER_TAG_VALUE));
});

test("the reported values of a tag are chosen anew in each interval", (t) => {
  const timer = new VirtualTimer();
  const tag = new BoundedTag({ timer, maximumValues: 1, intervalMs: 1_000 });
  t.deepEqual(["a", "b", "a"].map((value) => tag.boundedValue(value)), [
    "a",
    OTHER_TAG_VALUE,
    "a",
  ]);
  timer.advance(1_000);
  t.deepEqual(["b", "a"].map((value) => tag.boundedValue(value)), [
    "b",
    OTHER_TAG_VALUE,
  ]);
});

class ObservedMetrics extends Metrics {
  readonly values: [string, number, MetricTags][] = [];

  override count(): void {}

  override observe(name: string, value: number, tags: MetricTags = {}): void {
    this.values.push([name, value, tags]);
  }
}

test("a streamed response reports the mean and the longest gap between tokens", (t) => {
  const timer = new VirtualTimer();
  const metrics = new ObservedMetrics();
  const bundle = exampleBundle("fukuoka");
  const request = acceptRequest(createChatRequest(bundle))._unsafeUnwrap();
  const observed = new RequestMetrics(request, { metrics, timer });
  observed.recordFirstToken();
  for (const gap of [10, 30, 20]) {
    timer.advance(gap);
    observed.recordToken();
  }
  observed.recordResponse({ status: 200, outputTokens: 4, cachedTokens: 0 });
  const tags = { tier: asTier(2), account: request.account.account };
  t.deepEqual(metrics.values.slice(-2), [
    ["request.between_tokens_ms", 20, tags],
    ["request.slowest_gap_ms", 30, tags],
  ]);
});

/** Lines received over UDP; `more` waits for the next datagram. */
class Lines extends Array<string> {
  more: () => Promise<unknown> = () => Promise.resolve();
}

async function listenUdp(
  t: ExecutionContext,
): Promise<{ port: number; lines: Lines }> {
  const socket = createSocket("udp4");
  const lines = new Lines();
  lines.more = () => once(socket, "message");
  socket.on("message", (datagram) => {
    const text = datagram.toString("utf8").trim();
    if (text !== "") lines.push(...text.split("\n"));
  });
  socket.bind(0, "127.0.0.1");
  await once(socket, "listening");
  t.teardown(() => void socket.close());
  return { port: socket.address().port, lines };
}
