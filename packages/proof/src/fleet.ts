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
const MIN_PORT = 15_000;
const MAX_PORT = 32_000;
const MAX_PORT_ATTEMPTS = 100;

/** Options of {@link startFleet}. */
export interface FleetOptions {
  readonly deployment: ExampleDeployment;
  readonly hosts?: number;
  /** Speed of the engines as a multiple of real time. */
  readonly timeScale?: number;
  readonly logLevel?: "info" | "warn" | "error" | "silent";
}

/** A running entry host process. */
export interface EntryProcess {
  readonly host: string;
  readonly callerUrl: string;
  readonly operatorUrl: string;
  readonly peerPort: number;
  readonly settingsFile: string;
  process: ChildProcess;
}

/** Stand-ins and entry host processes of a deployment on loopback. */
export interface Fleet {
  readonly bundle: Bundle;
  readonly deployment: RunningDeployment;
  readonly entries: EntryProcess[];
  /** Publishes a changed bundle with the next version. */
  publish(change: (bundle: Bundle) => Bundle): Bundle;
  /** Publishes a host list of all entry hosts and upstreams. */
  publishHosts(options?: { leaving?: ReadonlySet<string> }): void;
  /** Starts a new incarnation of an entry host on the same ports. */
  restart(entry: EntryProcess): Promise<void>;
  stop(): Promise<void>;
}

/** Starts the stand-ins of a deployment and its entry hosts. */
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
  await Promise.all(entries.map(waitUntilReady)).catch(
    async (thrown: unknown) => {
      // Otherwise the started processes would outlive this one.
      await Promise.all(
        entries.map(({ process: child }) => killProcess(child)),
      );
      throw thrown;
    },
  );
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
      await waitUntilReady(entry);
    },
    async stop(): Promise<void> {
      await Promise.all(
        entries.map(({ process: child }) => killProcess(child)),
      );
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

async function waitUntilReady(
  { host, operatorUrl, process: child }: EntryProcess,
): Promise<void> {
  await readFirstLine(child, host);
  const deadline = Date.now() + START_TIMEOUT_MS;
  while (Date.now() < deadline) {
    const response = await fetch(`${operatorUrl}/ready`).catch(() => undefined);
    if (response?.ok) return;
    await new Promise((resolve) => setTimeout(resolve, READY_POLL_MS));
  }
  throw new Error(
    `Entry host ${host} did not become ready within ${START_TIMEOUT_MS} ms`,
  );
}

async function readFirstLine(
  child: ChildProcess,
  host: string,
): Promise<string> {
  for await (const line of createInterface({ input: child.stdout! })) {
    return line;
  }
  throw new Error(`Entry host ${host} exited before it listened`);
}

function killProcess(child: ChildProcess): Promise<void> {
  if (child.exitCode !== null || child.signalCode !== null) {
    return Promise.resolve();
  }
  return new Promise((resolve) => {
    child.once("exit", () => resolve());
    child.kill("SIGKILL");
  });
}

async function freePorts(count: number): Promise<number[]> {
  const servers = await Promise.all(
    Array.from({ length: count }, listenOnFreePort),
  );
  const ports = servers.map((server) =>
    (server.address() as { port: number }).port
  );
  await Promise.all(
    servers.map((server) => new Promise((resolve) => server.close(resolve))),
  );
  return ports;
}

/**
 * Listens on a random port below the ephemeral range, so that no outgoing
 * connection takes the port before the entry host listens on it.
 */
async function listenOnFreePort(): Promise<ReturnType<typeof createServer>> {
  for (let attempt = 0; attempt < MAX_PORT_ATTEMPTS; attempt++) {
    const server = createServer();
    const port = randomInt(MIN_PORT, MAX_PORT);
    const isListening = await new Promise<boolean>((resolve) => {
      server.once("error", () => resolve(false));
      server.listen(port, ADDRESS, () => resolve(true));
    });
    if (isListening) return server;
  }
  throw new Error("No free port was found");
}
