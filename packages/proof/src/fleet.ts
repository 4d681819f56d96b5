import { type ChildProcess, spawn } from "node:child_process";
import { randomInt } from "node:crypto";
import { mkdtemp, rm, writeFile } from "node:fs/promises";
import { createServer } from "node:net";
import { tmpdir } from "node:os";
import { join } from "node:path";
import process from "node:process";
import { createInterface } from "node:readline";
import { fileURLToPath } from "node:url";
import {
  type Bundle,
  exampleBundle,
  type ExampleDeployment,
  exampleSigningKey,
  type HostList,
  type ListedHost,
  signBundle,
  type SignedBundle,
  trustedKeyOf,
} from "@wasabivane/bundle";
import { asBundleVersion, asId } from "@wasabivane/common";
import { type RunningDeployment, startDeployment } from "@wasabivane/stand-ins";

const ENTRY_PROGRAM = fileURLToPath(
  new URL("../../../apps/entry/dist/main.js", import.meta.url),
);
const START_TIMEOUT_MS = 15_000;
const READY_POLL_MS = 50;
const ADDRESS = "127.0.0.1";
const FIRST_PORT = 15_000;
const LAST_PORT = 32_000;
const MAX_PORT_ATTEMPTS = 100;

/** Options of {@link startFleet}. */
export interface FleetOptions {
  readonly deployment: ExampleDeployment;
  readonly hosts?: number;
  /** How many times as fast as real time the engines work. */
  readonly timeScale?: number;
  readonly logLevel?: "info" | "warn" | "error" | "silent";
}

/** One entry host's process. */
export interface EntryProcess {
  readonly host: string;
  readonly callerUrl: string;
  readonly operatorUrl: string;
  readonly peerPort: number;
  readonly settingsFile: string;
  process: ChildProcess;
}

/** Stand-ins and entry hosts of one deployment, on loopback. */
export interface Fleet {
  readonly bundle: Bundle;
  readonly deployment: RunningDeployment;
  readonly entries: EntryProcess[];
  /** Publishes a changed bundle under the next version. */
  publish(change: (bundle: Bundle) => Bundle): Bundle;
  /** Publishes the entry hosts that are alive, and the upstreams. */
  publishHosts(options?: { leaving?: ReadonlySet<string> }): void;
  /** Starts an entry's process again, as another incarnation on the same ports. */
  restart(entry: EntryProcess): Promise<void>;
  stop(): Promise<void>;
}

/** Starts the stand-ins of a deployment and entry hosts in front of them. */
export async function startFleet(options: FleetOptions): Promise<Fleet> {
  const deployment = await startDeployment(options);
  const folder = await mkdtemp(join(tmpdir(), "wasabivane-"));
  let bundle = exampleBundle(options.deployment, {
    upstreamUrls: deployment.urls,
  });
  const entries: EntryProcess[] = [];
  for (let index = 0; index < (options.hosts ?? 8); index++) {
    entries.push(
      await prepareEntry({ index, folder, bundle, deployment, options }),
    );
  }
  let hostListVersion = 0;
  const publishHosts = (
    { leaving = new Set() }: { leaving?: ReadonlySet<string> } = {},
  ): void => {
    hostListVersion++;
    deployment.platform.setHosts(
      hostListOf({ version: hostListVersion, bundle, entries, leaving }),
    );
  };
  const publish = (change: (bundle: Bundle) => Bundle): Bundle => {
    const version = asBundleVersion(bundle.version + 1);
    bundle = { ...change(bundle), version };
    deployment.platform.setBundle(sign(bundle));
    return bundle;
  };
  deployment.platform.setBundle(sign(bundle));
  publishHosts();
  for (const entry of entries) entry.process = spawnEntry(entry.settingsFile);
  await Promise.all(entries.map(untilReady)).catch(async (thrown: unknown) => {
    // Processes that started would outlive this one and keep their ports.
    await Promise.all(entries.map(({ process: child }) => ended(child)));
    throw thrown;
  });
  return {
    get bundle(): Bundle {
      return bundle;
    },
    deployment,
    entries,
    publish,
    publishHosts,
    async restart(entry: EntryProcess): Promise<void> {
      entry.process = spawnEntry(entry.settingsFile);
      await untilReady(entry);
    },
    async stop(): Promise<void> {
      await Promise.all(entries.map(({ process: child }) => ended(child)));
      await deployment.stop();
      await rm(folder, { recursive: true });
    },
  };
}

function sign(bundle: Bundle): SignedBundle {
  return signBundle(bundle, exampleSigningKey())._unsafeUnwrap();
}

async function prepareEntry(
  { index, folder, bundle, deployment, options }: {
    index: number;
    folder: string;
    bundle: Bundle;
    deployment: RunningDeployment;
    options: FleetOptions;
  },
): Promise<EntryProcess> {
  const domains = bundle.failureDomains;
  const [callerPort, operatorPort, peerPort] = await freePorts(3);
  const host = `entry-${index + 1}`;
  const settingsFile = join(folder, `${host}.json`);
  const settings = {
    host,
    failureDomain: domains[index % domains.length]!.failureDomain,
    callers: { address: ADDRESS, port: callerPort },
    operators: { address: ADDRESS, port: operatorPort },
    peers: {
      address: ADDRESS,
      port: peerPort,
      secrets: ["loopback-fleet-secret"],
    },
    platform: {
      configurationUrl: deployment.platformUrl,
      hostListUrl: deployment.platformUrl,
    },
    trustedKeys: [trustedKeyOf(exampleSigningKey())],
    logLevel: options.logLevel ?? "silent",
  };
  await writeFile(settingsFile, JSON.stringify(settings, undefined, 2));
  return {
    host,
    callerUrl: `http://${ADDRESS}:${callerPort}`,
    operatorUrl: `http://${ADDRESS}:${operatorPort}`,
    peerPort: peerPort!,
    settingsFile,
    process: undefined as unknown as ChildProcess,
  };
}

function hostListOf(
  { version, bundle, entries, leaving }: {
    version: number;
    bundle: Bundle;
    entries: readonly EntryProcess[];
    leaving: ReadonlySet<string>;
  },
): HostList {
  const domains = bundle.failureDomains;
  return {
    version,
    entryHosts: entries.map(({ host, peerPort }, index): ListedHost => ({
      host: asId(host),
      peerAddress: `${ADDRESS}:${peerPort}`,
      failureDomain: domains[index % domains.length]!.failureDomain,
      state: leaving.has(host) ? "leaving" : "live",
    })),
    upstreams: bundle.upstreams.map(({ upstream }) => ({
      upstream,
      state: leaving.has(upstream) ? "leaving" : "live",
    })),
  };
}

function spawnEntry(settingsFile: string): ChildProcess {
  return spawn(process.execPath, [ENTRY_PROGRAM, "--settings", settingsFile], {
    stdio: ["ignore", "pipe", "inherit"],
  });
}

async function untilReady(
  { host, operatorUrl, process: child }: EntryProcess,
): Promise<void> {
  await firstLine(child, host);
  const deadline = Date.now() + START_TIMEOUT_MS;
  while (Date.now() < deadline) {
    const answer = await fetch(`${operatorUrl}/ready`).catch(() => undefined);
    if (answer?.ok) return;
    await new Promise((resolve) => setTimeout(resolve, READY_POLL_MS));
  }
  throw new Error(`${host} did not become ready within ${START_TIMEOUT_MS} ms`);
}

async function firstLine(child: ChildProcess, host: string): Promise<string> {
  for await (const line of createInterface({ input: child.stdout! })) {
    return line;
  }
  throw new Error(`${host} ended before it listened`);
}

function ended(child: ChildProcess): Promise<void> {
  if (child.exitCode !== null || child.signalCode !== null) {
    return Promise.resolve();
  }
  return new Promise((resolve) => {
    child.once("exit", () => resolve());
    child.kill("SIGKILL");
  });
}

async function freePorts(count: number): Promise<number[]> {
  const servers = await Promise.all(Array.from({ length: count }, listenOnAny));
  const ports = servers.map((server) =>
    (server.address() as { port: number }).port
  );
  await Promise.all(
    servers.map((server) => new Promise((resolve) => server.close(resolve))),
  );
  return ports;
}

/**
 * Listens below the range that the kernel takes outgoing connections' ports
 * from. Out of that range a port could be lost between its choice and the start
 * or the restart of the process that is to listen on it.
 */
async function listenOnAny(): Promise<ReturnType<typeof createServer>> {
  for (let attempt = 0; attempt < MAX_PORT_ATTEMPTS; attempt++) {
    const server = createServer();
    const port = randomInt(FIRST_PORT, LAST_PORT);
    const isListening = await new Promise<boolean>((resolve) => {
      server.once("error", () => resolve(false));
      server.listen(port, ADDRESS, () => resolve(true));
    });
    if (isListening) return server;
  }
  throw new Error("No port is free");
}
