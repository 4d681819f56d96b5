import { Buffer } from "node:buffer";
import { createServer as createTcpServer, type Socket } from "node:net";
import {
  asId,
  asTier,
  type FailureDomain,
  type HostId,
  type Incarnation,
  SeededRandom,
  type ServiceId,
  SystemTimer,
  type UpstreamId,
} from "@wasabivane/common";
import type { Policy, Route, RouteId } from "@wasabivane/admission";
import { Gateway, type LogOutput } from "@wasabivane/gateway";
import { freePorts } from "./freePorts.ts";
import { PlainDialect } from "./plainDialect.ts";

/** Other tests may take a port between its choice and the start. */
const MAXIMUM_TRIES = 5;
const SERVICE = asId<ServiceId>("plans");

/** What a stand-in upstream got on one connection. */
export interface ReceivedRequest {
  readonly head: string;
  readonly body: string;
  readonly socket: Socket;
  /** Value of a header field of the request. */
  field(name: string): string | undefined;
}

/** An upstream that answers with bytes that a test writes itself. */
export interface RawUpstream {
  readonly address: string;
  readonly received: ReceivedRequest[];
  close(): void;
}

/** Starts an upstream; `answer` is called once for each whole request. */
export async function startUpstream(
  answer: (received: ReceivedRequest) => void,
): Promise<RawUpstream> {
  const received: ReceivedRequest[] = [];
  const sockets = new Set<Socket>();
  const server = createTcpServer((socket) => {
    sockets.add(socket);
    let text = "";
    socket.on("error", () => {});
    socket.on("close", () => sockets.delete(socket));
    socket.on("data", (chunk) => {
      text += chunk.toString("latin1");
      const headEnd = text.indexOf("\r\n\r\n");
      if (headEnd < 0) return;
      const head = text.slice(0, headEnd);
      const length = Number(fieldIn(head, "content-length") ?? 0);
      if (text.length < headEnd + 4 + length) return;
      const body = text.slice(headEnd + 4, headEnd + 4 + length);
      text = "";
      const request: ReceivedRequest = {
        head,
        body,
        socket,
        field: (name) => fieldIn(head, name),
      };
      received.push(request);
      answer(request);
    });
  });
  await new Promise<void>((resolve) => server.listen(0, "127.0.0.1", resolve));
  const { port } = server.address() as { port: number };
  return {
    address: `127.0.0.1:${port}`,
    received,
    close: () => {
      server.close();
      for (const socket of sockets) socket.destroy();
    },
  };
}

function fieldIn(head: string, name: string): string | undefined {
  const match = new RegExp(`^${name}: *(.*)$`, "im").exec(head);
  return match?.[1]?.trim();
}

/** Head of a good answer to a request; the body follows. */
export function goodHead(
  received: ReceivedRequest,
  fields: Readonly<Record<string, string | number>> = {},
): string {
  const lines = Object.entries({
    id: received.field("id") ?? "",
    mark: "m",
    ...fields,
  }).map(([name, value]) => `${name}: ${value}\r\n`);
  return `HTTP/1.1 200 OK\r\n${lines.join("")}\r\n`;
}

/** A plain route to the tests' service. */
export function buildRoute(changes: Partial<Route> = {}): Route {
  return {
    route: asId<RouteId>("r"),
    host: "plans.example",
    prefix: "/a/",
    isStreaming: false,
    repeatability: "idempotent",
    timeout: 5_000,
    target: 500,
    pauseTarget: 0,
    tier: asTier(1),
    maximumAttempts: 2,
    isAnonymous: false,
    targets: [{ service: SERVICE, weight: 1 }],
    ...changes,
  };
}

/** A policy with one route and one account that holds the key `k`. */
export function buildPolicy(
  { version = 1, routes = [buildRoute()] }: Partial<Policy> = {},
): Policy {
  return {
    version,
    routes,
    services: [{
      service: SERVICE,
      maximumConnections: 100,
      coldStartsPerSecond: undefined,
    }],
    accounts: [{ account: asId("family"), apiKeys: ["k"] }],
    limits: {
      maximumHeaderBytes: 16_384,
      maximumBodyBytes: 100_000,
      headerTimeout: 3_000,
      idleTimeout: 5_000,
    },
  };
}

/** A gateway on loopback and what it logged. */
export interface RunningGateway {
  readonly gateway: Gateway;
  readonly url: string;
  readonly peers: string;
  /** `ip:port` where the balancer asks. */
  readonly readiness: string;
  readonly lines: Record<string, unknown>[];
  close(): Promise<void>;
}

/** Options of {@link startGateway}. */
export interface GatewayStart {
  readonly upstreams: readonly RawUpstream[];
  readonly route?: Partial<Route>;
  readonly slots?: number;
  readonly stopGrace?: number;
  /** Within this time a withdrawn key must have stopped working. */
  readonly revocationBound?: number;
  /** Peer addresses to begin with. */
  readonly seeds?: readonly string[];
  /** Whether the host reads policy and upstreams itself. */
  readonly isReading?: boolean;
  readonly host?: string;
  /** Lag from which on requests are refused. */
  readonly lowestLag?: number;
}

/** Starts a gateway before the given upstreams. */
export async function startGateway(
  options: GatewayStart,
): Promise<RunningGateway> {
  for (let tries = 0; tries < MAXIMUM_TRIES; tries++) {
    const started = await tryToStart(options);
    if (started !== undefined) return started;
  }
  throw new Error("No free ports were found");
}

async function tryToStart(
  {
    upstreams,
    route = {},
    slots = 4,
    stopGrace = 3_000,
    revocationBound = 600_000,
    seeds = [],
    isReading = true,
    host = "host",
    // Tests run beside each other; a busy machine must not make them fail.
    lowestLag = Infinity,
  }: GatewayStart,
): Promise<RunningGateway | undefined> {
  const lines: Record<string, unknown>[] = [];
  const output: LogOutput = {
    pendingBytes: 0,
    write: (line) => lines.push(JSON.parse(line)),
  };
  const timer = new SystemTimer();
  const [callers, readiness, peers] = await freePorts(3);
  const gateway = new Gateway({
    host: asId<HostId>(host),
    incarnation: asId<Incarnation>("1"),
    failureDomain: asId<FailureDomain>("west"),
    addresses: {
      callers: `127.0.0.1:${callers}`,
      readiness: `127.0.0.1:${readiness}`,
      peers: `127.0.0.1:${peers}`,
    },
    seeds,
    cores: 1,
    readinessPath: "/ready",
    freshness: { revocationBound, applyBound: 600_000 },
    retryBudget: { ratio: 0.2, slack: 50, window: 10_000 },
    quotaTolerance: { overrun: 0.25, slack: 0, span: 8_000 },
    warmupTolerance: { factor: 1, slack: 0 },
    lowestLag,
    shutdownGrace: stopGrace,
    dialect: new PlainDialect(),
    timer,
    random: new SeededRandom(1),
    output,
  });
  const started = await gateway.start();
  if (started.isErr()) {
    await gateway.close();
    return undefined;
  }
  const result = {
    gateway,
    url: `http://127.0.0.1:${callers}`,
    peers: `127.0.0.1:${peers}`,
    readiness: `127.0.0.1:${readiness}`,
    lines,
    close: async () => {
      await gateway.close();
      for (const upstream of upstreams) upstream.close();
    },
  };
  gateway.storeSharing.reportStoreRead(isReading, "start");
  if (!isReading) return result;
  const policy = buildPolicy({ routes: [buildRoute(route)] });
  const now = gateway.context.elapsed.now();
  gateway.adoptPolicy(Buffer.from(JSON.stringify(policy)), now);
  for (const [index, { address }] of upstreams.entries()) {
    gateway.upstreamUpdates.apply({
      upstream: asId<UpstreamId>(`u${index}`),
      name: `u${index}`,
      bornAt: 0,
      service: SERVICE,
      address,
      failureDomain: asId<FailureDomain>("west"),
      slots,
      coldFor: 0,
      isLeaving: false,
    });
  }
  // A host that reads says up to which revision of the store it knows all upstreams.
  gateway.storeSharing.advanceListRevision(1);
  return result;
}

/** What a caller saw of one request. */
export interface Seen {
  readonly status: number | undefined;
  readonly headers: Readonly<Record<string, string | string[] | undefined>>;
  readonly body: string;
  /** Whether the answer came to its proper end. */
  readonly isWhole: boolean;
}

/** Sends a request as a caller would. */
export async function sendRequest(
  url: string,
  { path = "/a/1", method = "POST", headers = {}, body = "hello" }: {
    path?: string;
    method?: string;
    headers?: Readonly<Record<string, string>>;
    body?: string;
  } = {},
): Promise<Seen> {
  const { request } = await import("undici");
  let status: number | undefined;
  let fields: Seen["headers"] = {};
  let text = "";
  try {
    const answer = await request(url + path, {
      method: method as "POST",
      headers: { host: "plans.example", id: "q1", key: "k", ...headers },
      body: method === "POST" ? body : null,
    });
    status = answer.statusCode;
    fields = answer.headers;
    for await (const chunk of answer.body) text += chunk.toString();
    return { status, headers: fields, body: text, isWhole: true };
  } catch {
    return { status, headers: fields, body: text, isWhole: false };
  }
}

/** Waits until something holds; the test's own time-out ends a wait in vain. */
export async function until(holds: () => boolean): Promise<void> {
  while (!holds()) {
    await new Promise((resolve) => setTimeout(resolve, 10));
  }
}

/** Two hosts: one reads the store, the other knows only what that one tells. */
export interface HostPair {
  readonly reading: RunningGateway;
  readonly refused: RunningGateway;
  close(): Promise<void>;
}

/** Starts a {@link HostPair} and waits until the second one is ready. */
export async function startHostPair(
  upstreams: readonly RawUpstream[],
): Promise<HostPair> {
  const reading = await startGateway({ upstreams, host: "reading" });
  const refused = await startGateway({
    upstreams: [],
    host: "refused",
    isReading: false,
    seeds: [reading.peers],
  });
  await until(() => refused.gateway.isReady);
  return {
    reading,
    refused,
    close: async () => {
      await refused.close();
      await reading.close();
    },
  };
}
