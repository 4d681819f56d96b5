import { mkdtempSync, rmSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import test from "ava";
import { runOperatorTool } from "@wasabivane/ctl";

/** Runs `explain` over the given logs, one file a host. */
async function explain(
  id: string,
  logs: readonly string[],
): Promise<{ code: number; text: string }> {
  const folder = mkdtempSync(join(tmpdir(), "explain-"));
  const files = logs.map((log, index) => {
    const file = join(folder, `${index}.log`);
    writeFileSync(file, log);
    return file;
  });
  let text = "";
  const code = await runOperatorTool({
    argv: ["node", "wasabivane-ctl", "explain", id, ...files],
    version: "0",
    output: {
      write: (part) => (text += part),
      writeError: (part) => (text += part),
    },
  });
  rmSync(folder, { recursive: true });
  return { code, text };
}

function line(values: Readonly<Record<string, unknown>>): string {
  return `${JSON.stringify({ level: "info", host: "h1", ...values })}\n`;
}

test("a request that waited in vain is told by what was ahead", async (t) => {
  const { code, text } = await explain("q1", [
    "12.1 h1 " + line({
      time: 10,
      id: "q1",
      status: 503,
      reason: "waited-out",
      held: 1_500,
      ahead: 40,
      startsPerSecond: 22,
      event: "request_refused",
    }),
  ]);
  t.is(code, 0);
  t.regex(text, /Refused with 503: it waited 1500 ms.*22 .*40 were ahead/);
});

test("a request refused on an old policy is told with the lost store", async (t) => {
  const { text } = await explain("q2", [
    line({ time: 5, event: "store_lost", detail: "refused with 503" }) +
    line({
      time: 20,
      id: "q2",
      status: 503,
      reason: "policy-behind",
      proofAge: 3_300,
      event: "request_refused",
    }),
    line({ time: 6, host: "h2", event: "store_lost", detail: "other host" }),
  ]);
  t.regex(
    text,
    /last proof 3300 ms ago\); the store was lost: refused with 503/,
  );
  t.notRegex(text, /other host/);
});

test("a cut stream is told with the failure before it, in order of time", async (t) => {
  const { text } = await explain("q3", [
    line({
      time: 30,
      id: "q3",
      event: "request_cut",
      detail: "broken",
      lastEvent: 4,
    }) +
    line({ time: 10, id: "q3", event: "request_sent", upstream: "u1" }) +
    line({
      time: 29,
      id: "q3",
      event: "request_failed",
      upstream: "u1",
      outcome: "broken",
      detail: "connection reset",
    }) +
    line({ time: 31, id: "q3", event: "request_ended", ending: "cut" }),
  ]);
  t.regex(text, /request_sent[^]*request_failed[^]*request_cut/);
  t.regex(text, /Cut after event 4 \(broken\); before, u1 was broken/);
});

test("a request whose host was killed is told by the host's next start", async (t) => {
  // A killed process writes nothing. The caller saw its connection end; the last line
  // tells where the request ran, the host's next start that it was lost with it.
  const { text } = await explain("q4", [
    line({ time: 10, id: "q4", event: "request_sent", upstream: "u1" }) +
    line({ time: 900, event: "started" }),
    line({ time: 500, host: "h2", event: "started" }),
  ]);
  t.regex(text, /Its host ended without a word .* again 890 ms after/);
});

test("a caller that left is told with how far its answer had come", async (t) => {
  const { text } = await explain("q5", [
    line({ time: 10, id: "q5", event: "request_sent", upstream: "u1" }) +
    line({
      time: 15_010,
      id: "q5",
      event: "caller_left",
      lastEvent: 205,
      first: 70,
      took: 15_000,
    }),
  ]);
  t.regex(text, /The caller left after 15000 ms and event 205/);
});

test("a request that no line names is a finding", async (t) => {
  const { code, text } = await explain("q9", ["no json\n"]);
  t.is(code, 1);
  t.regex(text, /No line names q9/);
});
