import { Buffer } from "node:buffer";
import { createServer as createTcpServer, type Socket } from "node:net";
import {
  type Address,
  asId,
  asTier,
  type FailureDomain,
  type HostId,
  type Incarnation,
  SeededRandom,
  type ServiceId,
  SystemTimer,
  type Timer,
  type UpstreamId,
} from "@wasabivane/common";
import type { Policy, Route, RouteId, Upstream } from "@wasabivane/admission";
import type { ExecutionContext } from "ava";
import { Gateway, type LogOutput } from "@wasabivane/gateway";
import { freePorts } from "./freePorts.ts";
import { PlainDialect } from "./plainDialect.ts";

/** Attempts to start a gateway; another test may take a chosen port. */
const MAXIMUM_ATTEMPTS = 5;
/** Long enough for tests that run in parallel on a busy machine. */
const CONNECT_TIMEOUT_MS = 20_000;
const HOSTS_APART = 4;
const SERVICE = asId<ServiceId>("plans");

/** A request that a {@link RawUpstream} received. */
export interface ReceivedRequest {
  readonly head: string;
  readonly body: string;
  readonly socket: Socket;
  /** Returns the value of a request header. */
  header(name: string): string | undefined;
}

/** An upstream whose responses are written by the test as raw bytes. */
export interface RawUpstream {
  readonly address: Address;
  readonly received: ReceivedRequest[];
  close(): void;
}

/** Starts an upstream; `respond` is called once for each complete request. */
export async function startUpstream(
  respond: (received: ReceivedRequest) => void,
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
      const length = Number(headerIn(head, "content-length") ?? 0);
      if (text.length < headEnd + 4 + length) return;
      const body = text.slice(headEnd + 4, headEnd + 4 + length);
      text = "";
      const request: ReceivedRequest = {
        head,
        body,
        socket,
        header: (name) => headerIn(head, name),
      };
      received.push(request);
      respond(request);
    });
  });
  await new Promise<void>((resolve) => server.listen(0, "127.0.0.1", resolve));
  const { port } = server.address() as { port: number };
  return {
    address: asId<Address>(`127.0.0.1:${port}`),
    received,
    close: () => {
      server.close();
      for (const socket of sockets) socket.destroy();
    },
  };
}

function headerIn(head: string, name: string): string | undefined {
  const match = new RegExp(`^${name}: *(.*)$`, "im").exec(head);
  return match?.[1]?.trim();
}

/**
 * Returns the status line and headers of a successful response to a request.
 */
export function responseHead(
  received: ReceivedRequest,
  headers: Readonly<Record<string, string | number>> = {},
): string {
  const lines = Object.entries({
    id: received.header("id") ?? "",
    mark: "m",
    ...headers,
  }).map(([name, value]) => `${name}: ${value}\r\n`);
  return `HTTP/1.1 200 OK\r\n${lines.join("")}\r\n`;
}

/** Builds a non-streaming route to the tests' service. */
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

/** Builds a policy with one route and one account with the API key `k`. */
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

/** A gateway on the loopback interface and its log lines. */
export interface RunningGateway {
  readonly gateway: Gateway;
  readonly url: string;
  /** `ip:port` for peers. */
  readonly peerAddress: Address;
  /** `ip:port` of the readiness endpoint. */
  readonly readinessAddress: string;
  readonly lines: Record<string, unknown>[];
  close(): Promise<void>;
}

/** Options of {@link startGateway}. */
export interface GatewayStartOptions {
  readonly upstreams: readonly RawUpstream[];
  readonly route?: Partial<Route>;
  readonly slots?: number;
  /** Software version of each upstream; the same one by default. */
  readonly versions?: readonly string[];
  readonly shutdownGrace?: number;
  /** Time within which a revoked key must stop working. */
  readonly revocationBound?: number;
  /** Initial peer addresses. */
  readonly seeds?: readonly string[];
  /**
   * Whether the host has its policy and upstreams from the store, not from a
   * peer.
   */
  readonly isReading?: boolean;
  readonly host?: string;
  /** Event-loop lag from which requests are shed. */
  readonly lowestLag?: number;
  /** Bytes; no limit by default. */
  readonly memoryLimit?: number;
  /** No limit by default. */
  readonly connectionLimit?: number;
  /** The system's timer by default. */
  readonly timer?: Timer;
}

/** Starts a gateway in front of the given upstreams. */
export async function startGateway(
  options: GatewayStartOptions,
): Promise<RunningGateway> {
  for (let attempt = 0; attempt < MAXIMUM_ATTEMPTS; attempt++) {
    const started = await tryToStart(options);
    if (started !== undefined) return started;
  }
  throw new Error("No free ports found");
}

async function tryToStart(
  {
    upstreams,
    route = {},
    slots = 4,
    versions = [],
    shutdownGrace = 3_000,
    revocationBound = 600_000,
    seeds = [],
    isReading = true,
    host = "host",
    // Disables shedding by lag, as tests run in parallel on a busy machine.
    lowestLag = Infinity,
    memoryLimit = Infinity,
    connectionLimit = Infinity,
    timer = new SystemTimer(),
  }: GatewayStartOptions,
): Promise<RunningGateway | undefined> {
  const lines: Record<string, unknown>[] = [];
  const output: LogOutput = {
    pendingBytes: 0,
    write: (line) => lines.push(JSON.parse(line)),
  };
  const [callers, readiness, peers] = await freePorts(3);
  const gateway = new Gateway({
    host: asId<HostId>(host),
    incarnation: asId<Incarnation>("1"),
    failureDomain: asId<FailureDomain>("west"),
    addresses: {
      callers: `127.0.0.1:${callers}`,
      readiness: `127.0.0.1:${readiness}`,
      peers: asId<Address>(`127.0.0.1:${peers}`),
    },
    seeds: seeds.map(asId<Address>),
    cores: 1,
    readinessPath: "/ready",
    freshness: { revocationBound, applyBound: 600_000 },
    retryBudget: { ratio: 0.2, slack: 50, window: 10_000 },
    quotaTolerance: { overrun: 0.25, slack: 0, span: 8_000 },
    warmupTolerance: { factor: 1, slack: 0 },
    lowestLag,
    memoryLimit,
    connectionLimit,
    connectTimeout: CONNECT_TIMEOUT_MS,
    shutdownGrace,
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
    peerAddress: asId<Address>(`127.0.0.1:${peers}`),
    readinessAddress: `127.0.0.1:${readiness}`,
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
  gateway.adoptPolicy(Buffer.from(JSON.stringify(policy)), {
    confirmedAt: now,
    revision: 1,
  });
  for (const [index, { address }] of upstreams.entries()) {
    const version = versions[index] ?? "1";
    gateway.upstreamUpdates.apply(
      buildEntry(`u${index}`, { address, slots, version }),
    );
  }
  gateway.storeSharing.advanceListRevision(1);
  return result;
}

/** Nothing listens there. */
const UNUSED_ADDRESS = "127.0.0.1:1";

/** Starts hosts whose settings name peers that they never hear. */
export async function startHostsApart(
  t: ExecutionContext,
  upstreams: readonly RawUpstream[],
  options: Partial<GatewayStartOptions> = {},
): Promise<RunningGateway[]> {
  const hosts = await Promise.all(
    Array.from({ length: HOSTS_APART }, (_, index) =>
      startGateway({
        ...options,
        upstreams,
        host: `apart-${index}`,
        seeds: [UNUSED_ADDRESS],
      })),
  );
  t.teardown(() => Promise.all(hosts.map((host) => host.close())));
  return hosts;
}

/** Builds the store's entry of an upstream. */
export function buildEntry(
  name: string,
  { address, slots = 4, version = "1" }: {
    address: string;
    slots?: number;
    version?: string;
  },
): Upstream {
  return {
    upstream: asId<UpstreamId>(name),
    name,
    bornAt: 0,
    service: SERVICE,
    address: asId<Address>(address),
    failureDomain: asId<FailureDomain>("west"),
    slots,
    coldFor: 0,
    softwareVersion: asId(version),
    isLeaving: false,
  };
}

/** The response to one request as its caller received it. */
export interface ReceivedResponse {
  readonly status: number | undefined;
  readonly headers: Readonly<Record<string, string | string[] | undefined>>;
  readonly body: string;
  /** Whether the response ended properly. */
  readonly isComplete: boolean;
}

/** Sends a request to a gateway as a caller. */
export async function sendRequest(
  url: string,
  { path = "/a/1", method = "POST", headers = {}, body = "hello", leavesAfter }:
    {
      path?: string;
      method?: string;
      headers?: Readonly<Record<string, string>>;
      body?: string;
      /** When the caller gives up. */
      leavesAfter?: number;
    } = {},
): Promise<ReceivedResponse> {
  const { request } = await import("undici");
  let status: number | undefined;
  let responseHeaders: ReceivedResponse["headers"] = {};
  let text = "";
  try {
    const response = await request(url + path, {
      method: method as "POST",
      headers: { host: "plans.example", id: "q1", key: "k", ...headers },
      body: method === "POST" ? body : null,
      signal: leavesAfter === undefined
        ? null
        : AbortSignal.timeout(leavesAfter),
    });
    status = response.statusCode;
    responseHeaders = response.headers;
    for await (const chunk of response.body) text += chunk.toString();
    return { status, headers: responseHeaders, body: text, isComplete: true };
  } catch {
    return { status, headers: responseHeaders, body: text, isComplete: false };
  }
}

/** Polls until a condition holds; the test's timeout is the only limit. */
export async function waitUntil(holds: () => boolean): Promise<void> {
  while (!holds()) {
    await new Promise((resolve) => setTimeout(resolve, 10));
  }
}

/**
 * A host with access to the store, and one that learns everything from the
 * first.
 */
export interface HostPair {
  readonly reader: RunningGateway;
  readonly follower: RunningGateway;
  close(): Promise<void>;
}

/** Starts a {@link HostPair} and waits until the second one is ready. */
export async function startHostPair(
  upstreams: readonly RawUpstream[],
): Promise<HostPair> {
  const reader = await startGateway({ upstreams, host: "reading" });
  const follower = await startGateway({
    upstreams: [],
    host: "refused",
    isReading: false,
    seeds: [reader.peerAddress],
  });
  await waitUntil(() => follower.gateway.isReady);
  return {
    reader,
    follower,
    close: async () => {
      await follower.close();
      await reader.close();
    },
  };
}
