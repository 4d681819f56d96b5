import { Buffer } from "node:buffer";
import test from "ava";
import fc from "fast-check";
import { asId, type Nonce } from "@wasabivane/common";
import { CompletionStream } from "@wasabivane/entry";

const NONCE = asId<Nonce>("n1");

function chunk(
  content: string,
  options: { id?: string; finish?: string } = {},
): string {
  const { id = "chatcmpl-n1", finish = null } = options;
  const choices = [{ index: 0, delta: { content }, finish_reason: finish }];
  return `data: ${JSON.stringify({ id, choices })}\n\n`;
}

const WHOLE = chunk("a") + chunk("b") + chunk("", { finish: "stop" }) +
  "data: [DONE]\n\n";

function read(
  ...parts: string[]
): { stream: CompletionStream; events: string[] } {
  const events: string[] = [];
  const stream = new CompletionStream(
    NONCE,
    ({ data }) => void events.push(data),
  );
  for (const part of parts) stream.feed(Buffer.from(part));
  return { stream, events };
}

test("a stream is complete after its finish reason and end marker", (t) => {
  const { stream } = read(WHOLE);
  t.true(stream.isComplete);
  t.is(stream.tokenCount, 2);
});

test("any split of the bytes yields the same events", (t) => {
  fc.assert(
    fc.property(fc.array(fc.integer({ min: 0, max: WHOLE.length })), (cuts) => {
      const places = [
        0,
        ...cuts.sort((left, right) => left - right),
        WHOLE.length,
      ];
      const parts = places.slice(1).map((end, index) =>
        WHOLE.slice(places[index], end)
      );
      const { stream, events } = read(...parts);
      return stream.isComplete && events.length === 4;
    }),
  );
  t.pass();
});

// Guards against relaying text of another response that the engine mixed in.
test("an event of another dispatch is not emitted", (t) => {
  const { stream, events } = read(
    chunk("a"),
    chunk("secret", { id: "chatcmpl-n2" }),
    chunk("b"),
  );
  t.is(stream.error?.kind, "not-own");
  t.is(events.length, 1);
});

test("events after the end marker are not emitted", (t) => {
  const { stream, events } = read(WHOLE, WHOLE);
  t.true(stream.hasTrailingEvents);
  t.is(events.length, 4);
});

test("an end marker without a finish reason is malformed", (t) => {
  const { stream } = read(chunk("a"), "data: [DONE]\n\n");
  t.false(stream.isComplete);
  t.is(stream.error?.kind, "malformed");
});

test("arbitrary bytes neither throw nor complete the stream", (t) => {
  fc.assert(fc.property(fc.array(fc.uint8Array({ maxLength: 64 })), (parts) => {
    const stream = new CompletionStream(NONCE, () => {});
    for (const part of parts) stream.feed(part);
    return !stream.isComplete;
  }));
  t.pass();
});
