import test, { type ExecutionContext } from "ava";
import {
  type GatewayStartOptions,
  type RawUpstream,
  type ReceivedRequest,
  type ReceivedResponse,
  responseHead,
  type RunningGateway,
  sendRequest,
  startGateway,
  startUpstream,
  waitUntil,
} from "./helpers/fleet.ts";

const STREAM = {
  isStreaming: true,
  repeatability: "resumable",
  target: 20_000,
  pauseTarget: 200,
  timeout: 60_000,
} as const;
const LAST_EVENT = 3;

interface Fleet {
  readonly hosts: readonly RunningGateway[];
  readonly upstreams: readonly RawUpstream[];
}

/**
 * Starts hosts before upstreams of these versions. A stream of which the caller
 * has nothing breaks off after its first event; one that is resumed is complete.
 */
async function startFleet(
  t: ExecutionContext,
  { versions, hostCount = 1, ...options }:
    & { versions: readonly string[]; hostCount?: number }
    & Partial<GatewayStartOptions>,
): Promise<Fleet> {
  const upstreams = await Promise.all(
    versions.map((version) =>
      startUpstream((received) => respond(received, version))
    ),
  );
  const hosts: RunningGateway[] = [];
  for (let index = 0; index < hostCount; index++) {
    const seeds = hosts.map(({ peerAddress }) => peerAddress);
    const host = `host-${index}`;
    hosts.push(
      await startGateway({
        upstreams,
        versions,
        route: STREAM,
        host,
        seeds,
        ...options,
      }),
    );
  }
  t.teardown(() => Promise.all(hosts.map((host) => host.close())));
  await waitUntil(() =>
    options.seeds !== undefined ||
    hosts.every(({ gateway }) => gateway.context.hostCount() === hostCount)
  );
  return { hosts, upstreams };
}

function respond(received: ReceivedRequest, version: string): void {
  const after = Number(received.header("last-event-id") ?? 0);
  const isResumed = received.header("last-event-id") !== undefined;
  const ids = isResumed ? [after + 1, LAST_EVENT] : [1];
  const text = ids.map((id) => `id: ${id}\ndata: ${version}\n\n`).join("");
  const chunk = `${text.length.toString(16)}\r\n${text}\r\n`;
  const head = responseHead(received, { "transfer-encoding": "chunked" });
  const { socket } = received;
  if (isResumed) return void socket.write(`${head}${chunk}0\r\n\r\n`);
  socket.write(head + chunk);
  setTimeout(() => socket.resetAndDestroy(), 20);
}

function versionsIn({ body }: { body: string }): string[] {
  return [...new Set(body.match(/(?<=data: ).*/g))];
}

/** Takes a stream up of which the caller has the first event. */
function takeUp(
  { url }: RunningGateway,
  { id, resumes }: { id: string; resumes?: string },
): Promise<ReceivedResponse> {
  const headers = {
    id,
    "last-event-id": "1",
    ...resumes !== undefined && { resumes },
  };
  return sendRequest(url, { headers });
}

test("a stream that breaks off goes on at the version that began it", async (t) => {
  // Guards against a response with events of two software versions.
  const { hosts: [host] } = await startFleet(t, {
    versions: ["a", "a", "b", "b", "b", "b"],
  });
  for (let count = 0; count < 8; count++) {
    const seen = await sendRequest(host!.url, { headers: { id: `q${count}` } });
    t.is(versionsIn(seen).length, 1, seen.body);
    t.true(seen.isComplete);
  }
});

test("a stream whose version is gone is cut", async (t) => {
  // Guards against a response with events of two software versions.
  const { hosts: [host] } = await startFleet(t, { versions: ["a", "b"] });
  const seen = await sendRequest(host!.url);
  t.false(seen.isComplete);
  t.is(versionsIn(seen).length, 1);
});

test("a stream that its caller takes up at another host goes on at its version", async (t) => {
  // Guards against hosts that do not know where the streams of others began.
  const { hosts } = await startFleet(t, {
    versions: ["a", "a", "b", "b"],
    hostCount: 3,
    route: { ...STREAM, maximumAttempts: 1 },
  });
  for (let count = 0; count < 6; count++) {
    const id = `q${count}`;
    const first = await sendRequest(hosts[0]!.url, { headers: { id } });
    const second = await takeUp(hosts[1 + count % 2]!, {
      id: `r${count}`,
      resumes: id,
    });
    t.is(second.status, 200);
    t.deepEqual(versionsIn(second), versionsIn(first));
    const third = await takeUp(hosts[2 - count % 2]!, {
      id: `s${count}`,
      resumes: id,
    });
    t.deepEqual(versionsIn(third), versionsIn(first));
  }
});

test("a stream goes on at its version after the host that had it was lost", async (t) => {
  // Guards against records of a stream that end with its host.
  const { hosts } = await startFleet(t, {
    versions: ["a", "a", "b", "b"],
    hostCount: 3,
    route: { ...STREAM, maximumAttempts: 1 },
  });
  const ids = ["q0", "q1", "q2", "q3", "q4", "q5"];
  const first = new Map<string, string[]>();
  for (const id of ids) {
    const seen = await sendRequest(hosts[0]!.url, { headers: { id } });
    first.set(id, versionsIn(seen));
  }
  await hosts[0]!.gateway.close();
  for (const [index, id] of ids.entries()) {
    const seen = await takeUp(hosts[1 + index % 2]!, {
      id: `r-${id}`,
      resumes: id,
    });
    t.deepEqual(versionsIn(seen), first.get(id)!);
  }
});

test("a stream of unknown version is refused as not run", async (t) => {
  // Guards against a host that guesses, as callers name no request or an unknown one.
  const { hosts: [host], upstreams } = await startFleet(t, {
    versions: ["a", "b"],
  });
  for (const resumes of [undefined, "unknown"]) {
    const seen = await takeUp(host!, {
      id: `r-${resumes}`,
      ...resumes !== undefined && { resumes },
    });
    t.is(seen.status, 503);
    t.truthy(seen.headers["retry-after"]);
  }
  t.is(upstreams.flatMap(({ received }) => received).length, 0);
});

test("a host that has just started does not take the version that it sees for the only one", async (t) => {
  // Guards against streams of a version that left before the host started.
  const { hosts: [host], upstreams } = await startFleet(t, { versions: ["a"] });
  const seen = await takeUp(host!, { id: "r", resumes: "q" });
  t.is(seen.status, 503);
  t.is(upstreams[0]!.received.length, 0);
});
