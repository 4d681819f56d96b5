import test, { type ExecutionContext } from "ava";
import { asId, type HostId, VirtualTimer } from "@wasabivane/common";
import {
  DecisionLog,
  FetchSchedule,
  GatewayMetrics,
  UncaughtErrors,
} from "@wasabivane/gateway";
import { PeriodicChecks } from "../src/periodicChecks.ts";
import {
  type RunningGateway,
  sendRequest,
  startGateway,
} from "./helpers/fleet.ts";
import { startServing } from "./helpers/simpleUpstreams.ts";

const LOG_INTERVAL_MS = 10_000;

interface Recorder {
  readonly timer: VirtualTimer;
  readonly errors: UncaughtErrors;
  readonly lines: Record<string, unknown>[];
}

function createRecorder(): Recorder {
  const timer = new VirtualTimer();
  const lines: Record<string, unknown>[] = [];
  const log = new DecisionLog({
    output: { pendingBytes: 0, write: (line) => lines.push(JSON.parse(line)) },
    timer,
    host: "host",
  });
  const errors = new UncaughtErrors({
    timer,
    log,
    metrics: new GatewayMetrics(),
  });
  return { timer, errors, lines };
}

test("an error that recurs is logged once in ten seconds, with its count", async (t) => {
  // Guards against a log full of one error.
  const { timer, errors, lines } = createRecorder();
  const thrown = new TypeError("Invalid URL");
  for (let index = 0; index < 500; index++) errors.record(thrown, "timer");
  await timer.runUntil(LOG_INTERVAL_MS);
  errors.record(thrown, "timer");
  t.is(errors.count, 501);
  t.like(lines, [
    { event: "uncaught_error", message: "TypeError: Invalid URL" },
    { event: "uncaught_error", unlogged: 499 },
  ]);
  t.is(lines.length, 2);
});

test("errors with different texts fill neither the log nor the memory", (t) => {
  // Guards against a value from outside in the text of each error.
  const { errors, lines } = createRecorder();
  for (let index = 0; index < 1_000; index++) {
    errors.record(`value ${index}`, "timer");
  }
  t.is(errors.count, 1_000);
  t.is(lines.length, 33);
});

test("periodic work goes on after an error in it", async (t) => {
  // Guards against a host that sends no heartbeat any more.
  const { timer, errors } = createRecorder();
  let maintenances = 0;
  let ticks = 0;
  let timeErrors = 0;
  const checks = new PeriodicChecks({
    timer,
    errors,
    cellRouter: {
      timeToNextCheck: () => {
        if (ticks <= 5) return 50;
        timeErrors++;
        throw new Error("A time of the test");
      },
      tick: () => {
        ticks++;
        throw new Error("A tick of the test");
      },
    },
    lag: { observe: () => {} },
    peerCount: () => 0,
    runMaintenance: () => {
      maintenances++;
      throw new Error("A maintenance of the test");
    },
  });
  checks.start();
  await timer.runUntil(1_000);
  checks.close();
  t.true(maintenances > 5);
  t.true(ticks > 10);
  t.true(timeErrors > 0);
  t.is(errors.count, maintenances + ticks + timeErrors);
});

test("peers are asked again after a fetch that throws", async (t) => {
  // Guards against a host that fetches nothing from its peers any more.
  const timer = new VirtualTimer();
  let fetches = 0;
  const schedule = new FetchSchedule({
    timer,
    isNewer: () => true,
    fetch: () => {
      fetches++;
      return Promise.reject(new Error("A fetch of the test"));
    },
  });
  const announced = {
    peer: asId<HostId>("peer"),
    policyVersion: 1,
    listRevision: 1,
  };
  await t.throwsAsync(schedule.fetchFrom(announced));
  await t.throwsAsync(schedule.fetchFrom(announced));
  t.is(fetches, 2);
});

async function startHost(t: ExecutionContext): Promise<RunningGateway> {
  const host = await startGateway({ upstreams: [await startServing()] });
  t.teardown(() => host.close());
  t.is((await sendRequest(host.url)).status, 200);
  return host;
}

test("a request whose handling throws ends at once, and the next one is served", async (t) => {
  // Guards against a caller that waits until its deadline for nothing.
  const host = await startHost(t);
  const { placementClient, errors } = host.gateway.context;
  const submit = placementClient.submit.bind(placementClient);
  placementClient.submit = () => {
    placementClient.submit = submit;
    throw new Error("A request of the test");
  };
  t.is((await sendRequest(host.url)).status, undefined);
  t.is(errors.count, 1);
  t.is((await sendRequest(host.url)).status, 200);
});

test("a host delivers its messages to itself after an error in one", async (t) => {
  // Guards against a coordinator whose own host gets no slot any more.
  const host = await startHost(t);
  const { placementClient, errors } = host.gateway.context;
  const receive = placementClient.receive.bind(placementClient);
  placementClient.receive = () => {
    placementClient.receive = receive;
    throw new Error("A message of the test");
  };
  const statuses = await Promise.all(
    Array.from(
      { length: 4 },
      () => sendRequest(host.url).then(({ status }) => status, () => 0),
    ),
  );
  t.true(errors.count >= 1);
  t.true(
    statuses.filter((status) => status === 200).length >= 3,
    String(statuses),
  );
  t.is((await sendRequest(host.url)).status, 200);
});

for (const part of ["record", "endPrefill"] as const) {
  test(`an error in \`${part}\` at a request's end neither hides that it ran nor keeps its slot`, async (t) => {
    // Guards against a refusal as not run of a request that has run.
    const upstream = await startServing();
    const host = await startGateway({
      upstreams: [upstream],
      slots: 1,
      route: { repeatability: "at-most-once" },
    });
    t.teardown(() => host.close());
    const { upstreamStats, placementClient, errors } = host.gateway.context;
    const owner: Record<string, unknown> = Object(
      part === "record" ? upstreamStats : placementClient,
    );
    owner[part] = () => {
      delete owner[part];
      throw new Error("An error of the test");
    };
    for (let index = 0; index < 4; index++) {
      t.is((await sendRequest(host.url)).status, 200);
    }
    t.is(errors.count, 1);
  });
}

test("an error of any kind can be recorded", (t) => {
  // Guards against a value that ends the process as it is logged.
  const { errors } = createRecorder();
  const fields = ["stack", "name", "message"].flatMap((field) =>
    [Object.create(null), Symbol("s")].map((value) =>
      Object.defineProperty(new Error("An error of the test"), field, { value })
    )
  );
  const unreadable = Object.defineProperty(new Error(), "message", {
    get: () => {
      throw new Error("A getter of the test");
    },
  });
  const values = [Object.create(null), undefined, Symbol("s")];
  for (const thrown of [...values, ...fields, unreadable]) {
    t.notThrows(() => errors.record(thrown, "timer"));
  }
});
