import { createServer } from "node:http";
import type { AddressInfo } from "node:net";
import test from "ava";
import { VirtualTimer } from "@wasabivane/common";
import { runOperatorTool } from "@wasabivane/ctl";
import { createStatus, FakeFleet } from "./helpers/fakeFleet.ts";

const OLD_BUNDLE = { version: 2, root: "b".repeat(64) };

test("versions reports hosts with the newest version, an older one and none", async (t) => {
  const fleet = new FakeFleet({
    "entry-1": {},
    "entry-2": { status: { bundle: OLD_BUNDLE } },
    "entry-3": { status: { bundle: null } },
  });
  const { exitCode, stdout } = await fleet.run(["versions"]);
  t.is(exitCode, 1);
  t.deepEqual(stdout.trimEnd().split("\n"), [
    "HOST     FAILURE DOMAIN  VERSION  ROOT          STATE",
    "entry-1  hakata                3  aaaaaaaaaaaa  in force",
    "entry-2  hakata                2  bbbbbbbbbbbb  still on its way: 3",
    "entry-3  hakata          -        -             no bundle yet",
  ]);
});

test("versions succeeds only when all hosts have the same bundle", async (t) => {
  const same = new FakeFleet({ "entry-1": {}, "entry-2": {} });
  t.is((await same.run(["versions"])).exitCode, 0);
  const conflict = new FakeFleet({
    "entry-1": {},
    "entry-2": { status: { bundle: { ...OLD_BUNDLE, version: 3 } } },
  });
  const { exitCode, stdout } = await conflict.run(["versions", "--json"]);
  t.is(exitCode, 1);
  t.is(JSON.parse(stdout).hosts[1].state, "conflict");
});

test("versions reports members that did not respond", async (t) => {
  const members = ["entry-1", "entry-9"].map((host) => ({
    host,
    state: "alive",
  }));
  const fleet = new FakeFleet({ "entry-1": { status: { members } } });
  const { exitCode, stdout } = await fleet.run(["versions"]);
  t.is(exitCode, 1);
  t.regex(stdout, /^entry-9: a member that gave no answer here$/m);
});

// Guards against a hanging host that hides the state of the other hosts.
test("a host that does not respond in time is reported", async (t) => {
  const timer = new VirtualTimer();
  const fleet = new FakeFleet({
    "entry-1": {},
    "entry-2": { isUnresponsive: true },
  });
  const running = fleet.run(["status", "--timeout", "700"], { timer });
  timer.advance(700);
  const { exitCode, stdout } = await running;
  t.is(exitCode, 1);
  t.regex(stdout, /^entry-1 /m);
  t.regex(stdout, /entry-2\.test: no-answer \(No whole answer within 700 ms\)/);
});

test("a malformed status is reported with its path, and control characters are removed", async (t) => {
  const malformed = { ...createStatus("entry-2"), phase: 7 };
  const fleet = new FakeFleet({
    "entry-1": { status: { phase: "\u001b[2Jserving" } },
    "entry-2": { statusText: JSON.stringify(malformed) },
    "entry-3": { statusText: "<html>" },
  });
  const { exitCode, stdout } = await fleet.run(["status"]);
  t.is(exitCode, 1);
  t.false(stdout.includes("\u001b"));
  t.regex(stdout, /entry-2\.test: malformed \(phase: 7 is not allowed\)/);
  t.regex(stdout, /entry-3\.test: malformed \(The answer \(200\) is no JSON\)/);
});

test("waiting requests and counters are summed over all hosts", async (t) => {
  const group = { service: "drafter", tier: 1, account: "a" };
  const fleet = new FakeFleet({
    "entry-1": {
      status: {
        waiting: [{ ...group, tier: 3, requests: 9 }, {
          ...group,
          requests: 2,
        }],
        counters: { shed: 1, idle: 0 },
      },
    },
    "entry-2": {
      status: { waiting: [{ ...group, requests: 5 }], counters: { shed: 2 } },
    },
  });
  const waiting = await fleet.run(["waiting", "--json"]);
  t.deepEqual(JSON.parse(waiting.stdout).waiting, [
    { ...group, requests: 7 },
    { ...group, tier: 3, requests: 9 },
  ]);
  const counters = await fleet.run(["counters", "--json"]);
  t.deepEqual(JSON.parse(counters.stdout).counters, { shed: 3 });
});

test("status sums the outcomes over tiers and problems", async (t) => {
  const counters = {
    "request.ended{ending=whole,problem=none,tier=1}": 4,
    "request.ended{ending=whole,problem=none,tier=2}": 3,
    "request.ended{ending=not-run,problem=shed,tier=3}": 2,
    "request.waiting": 9,
  };
  const fleet = new FakeFleet({ "entry-1": { status: { counters } } });
  const { exitCode, stdout } = await fleet.run(["status"]);
  t.is(exitCode, 0);
  t.regex(stdout, /1 of 1 +0 +0 +whole 7, not-run 2$/m);
});

test("upstreams are listed with their coordinator", async (t) => {
  const upstream = {
    service: "drafter",
    upstream: "drafter-02",
    inFlight: 3,
    bound: 8,
    isEjected: true,
    isLeaving: true,
  };
  const fleet = new FakeFleet({
    "entry-1": { status: { upstreams: [upstream] } },
  });
  const { stdout } = await fleet.run(["upstreams"]);
  t.regex(stdout, /drafter +drafter-02 +3 +8 +leaving, ejected +entry-1/);
});

test("health succeeds only when every host is alive and ready", async (t) => {
  const ready = new FakeFleet({ "entry-1": {} });
  t.is((await ready.run(["health"])).exitCode, 0);
  const draining = new FakeFleet({
    "entry-1": {},
    "entry-2": { isReady: false },
  });
  const { exitCode, stdout } = await draining.run(["health", "--json"]);
  t.is(exitCode, 1);
  t.is(JSON.parse(stdout).hosts[1].ready, "no");
});

test("drain stops only the named host, with its stop plan", async (t) => {
  const fleet = new FakeFleet({
    "entry-1": {},
    "entry-2": { isDraining: true },
  });
  const started = await fleet.run([
    "drain",
    "entry-1",
    "--stop-plan",
    "evacuate",
  ]);
  t.is(started.exitCode, 0);
  t.deepEqual(fleet.received.filter(({ method }) => method === "POST"), [{
    host: "entry-1",
    method: "POST",
    path: "/drain",
    body: '{"stopPlan":"evacuate"}',
  }]);
  t.is((await fleet.run(["drain", "entry-2"])).exitCode, 1);
  const unknown = await fleet.run(["drain", "entry-11"]);
  t.is(unknown.exitCode, 1);
  t.regex(unknown.stdout, /did you mean "entry-1"/);
});

test("watch repeats the command every period until it is interrupted", async (t) => {
  const timer = new VirtualTimer();
  const interrupt = new AbortController();
  const fleet = new FakeFleet({ "entry-1": {} });
  let reports = 0;
  await fleet.run(["versions", "--json", "--watch", "2.5"], {
    timer,
    signal: interrupt.signal,
    output: {
      write: () => {
        reports++;
        if (reports === 3) interrupt.abort();
        else queueMicrotask(() => timer.advance(2_500));
      },
      writeError: (text) => t.fail(text),
    },
  });
  t.is(reports, 3);
  t.is(timer.now(), 5_000);
});

test("a wrong command line is reported without a stack trace", async (t) => {
  const fleet = new FakeFleet({ "entry-1": {} });
  const commandLines = [
    [],
    ["verisons"],
    ["versions", "--wach", "1"],
    ["versions", "--watch", "0"],
    ["versions", "--settings", "also.jsonc"],
    ["drain"],
    ["drain", "entry-1", "--watch", "1"],
  ];
  for (const args of commandLines) {
    const { exitCode, stdout, stderr } = await fleet.run(args);
    t.deepEqual([exitCode, stdout], [2, ""], args.join(" "));
    t.notRegex(stderr, /\n\s+at /);
  }
  t.deepEqual(fleet.received, []);
});

test("the status is fetched over HTTP", async (t) => {
  const server = createServer((_request, response) => {
    response.end(JSON.stringify(createStatus("entry-1")));
  }).listen(0, "127.0.0.1");
  t.teardown(() => server.close());
  await new Promise((resolve) => server.once("listening", resolve));
  const { port } = server.address() as AddressInfo;
  let stdout = "";
  const exitCode = await runOperatorTool({
    argv: ["node", "ctl", "versions", "--entries", `http://127.0.0.1:${port}`],
    version: "0.0.0",
    output: { write: (text) => void (stdout += text), writeError: t.fail },
  });
  t.is(exitCode, 0);
  t.regex(stdout, /entry-1 +hakata +3/);
});
