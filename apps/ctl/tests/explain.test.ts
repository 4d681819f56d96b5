import { mkdtempSync, rmSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import test from "ava";
import { runOperatorTool } from "@wasabivane/ctl";

/** Runs `explain` on the given logs, one file per host. */
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

function formatLine(values: Readonly<Record<string, unknown>>): string {
  return `${JSON.stringify({ level: "info", host: "h1", ...values })}\n`;
}

test("a refusal after waiting is explained by the requests ahead", async (t) => {
  const { code, text } = await explain("q1", [
    "12.1 h1 " + formatLine({
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

test("a refusal under an unconfirmed policy is explained by the lost store", async (t) => {
  const { text } = await explain("q2", [
    formatLine({ time: 5, event: "store_lost", detail: "refused with 503" }) +
    formatLine({
      time: 20,
      id: "q2",
      status: 503,
      reason: "policy-behind",
      proofAge: 3_300,
      event: "request_refused",
    }),
    formatLine({
      time: 6,
      host: "h2",
      event: "store_lost",
      detail: "other host",
    }),
  ]);
  t.regex(
    text,
    /last proof 3300 ms ago\); the store was lost: refused with 503/,
  );
  t.notRegex(text, /other host/);
});

test("a cut stream is explained by the earlier failure, in order of time", async (t) => {
  const { text } = await explain("q3", [
    formatLine({
      time: 30,
      id: "q3",
      event: "request_cut",
      detail: "broken",
      lastEvent: 4,
    }) +
    formatLine({ time: 10, id: "q3", event: "request_sent", upstream: "u1" }) +
    formatLine({
      time: 29,
      id: "q3",
      event: "request_failed",
      upstream: "u1",
      outcome: "broken",
      detail: "connection reset",
    }) +
    formatLine({ time: 31, id: "q3", event: "request_ended", ending: "cut" }),
  ]);
  t.regex(text, /request_sent[^]*request_failed[^]*request_cut/);
  t.regex(text, /Cut after event 4 \(broken\); before, u1 was broken/);
});

test("a request on a killed host is explained by the host's next start", async (t) => {
  // A killed process logs no outcome of its requests.
  const { text } = await explain("q4", [
    formatLine({ time: 10, id: "q4", event: "request_sent", upstream: "u1" }) +
    formatLine({ time: 900, event: "started" }),
    formatLine({ time: 500, host: "h2", event: "started" }),
  ]);
  t.regex(text, /Its host ended without a word .* again 890 ms after/);
});

test("a caller's disconnect is explained with the progress of the response", async (t) => {
  const { text } = await explain("q5", [
    formatLine({ time: 10, id: "q5", event: "request_sent", upstream: "u1" }) +
    formatLine({
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

test("a request that no line names is reported as a finding", async (t) => {
  const { code, text } = await explain("q9", ["no json\n"]);
  t.is(code, 1);
  t.regex(text, /No line names q9/);
});
