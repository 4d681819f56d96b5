/** Starts the program with the deploy file's command, beside stand-ins. */
import { fork, spawn } from "node:child_process";
import {
  appendFileSync,
  existsSync,
  mkdtempSync,
  openSync,
  readFileSync,
  rmSync,
  writeFileSync,
} from "node:fs";
import { Agent, request as httpRequest } from "node:http";
import { createServer } from "node:net";
import { tmpdir } from "node:os";
import { join } from "node:path";
import process from "node:process";
import { setTimeout as sleep } from "node:timers/promises";
import { fileURLToPath } from "node:url";
import { Store } from "./store.mjs";

export { sleep };

const ROOT = fileURLToPath(new URL("..", import.meta.url));
const REPLICA = fileURLToPath(new URL("replica.mjs", import.meta.url));
const HEARTBEAT_MS = 1_200;
export const KEY = "k-review-1";
export const HOST = "plans.example";
/** A script may take two minutes. */
const LIMIT_MS = 110_000;

/** Whether the disruption is to happen. */
export const HAS_TROUBLE = process.env.TROUBLE !== "0";

/** Ends the script as one that could not run. */
export class CannotRun extends Error {}

/** Hosts, replicas and the store of one small deployment. */
export class Fleet {
  hosts = [];
  replicas = [];
  /** Runs that replicas have reported. */
  runs = [];
  store = new Store();
  #recordPath;
  #folder = mkdtempSync(join(tmpdir(), "review-"));
  #net = `127.${20 + draw(200)}.${1 + draw(250)}`;
  #children = new Set();
  #beats = [];
  #startedAt = performance.now();

  constructor(caseUrl) {
    this.#recordPath = fileURLToPath(new URL("record.txt", caseUrl));
    writeFileSync(this.#recordPath, "");
    process.once("exit", () => this.#killAll());
    for (const signal of ["SIGTERM", "SIGINT", "SIGHUP"]) {
      process.once(signal, () => process.exit(2));
    }
  }

  /** Writes a line to the record. */
  record(text) {
    const at = ((performance.now() - this.#startedAt) / 1_000).toFixed(3);
    appendFileSync(this.#recordPath, `${at} ${text}\n`);
  }

  /** Starts the store, the replicas and the hosts, and waits until all serve. */
  async start({ routes, replicas, hosts = 3, graceS = 8, quota }) {
    if (!existsSync(join(ROOT, "target/wasabivane.cjs"))) {
      throw new CannotRun("The program is not built");
    }
    const storeAddress = await this.store.start(`${this.#net}.200`);
    this.store.write("op/config", createConfig(routes, quota));
    for (const options of replicas) await this.startReplica(options);
    const ports = await freePorts(`${this.#net}.1`, 4);
    for (let index = 1; index <= hosts; index++) {
      this.hosts.push(
        this.#createHost({ index, hosts, ports, storeAddress, graceS }),
      );
    }
    for (const host of this.hosts) this.#startHost(host);
    for (const host of this.hosts) await this.#waitUntilReady(host);
    // Hosts find each other, and the store has been stable for `contactMs`.
    await sleep(3_500);
  }

  async startReplica(options) {
    const index = this.replicas.length + 1;
    const ip = `${this.#net}.${100 + index}`;
    const [port] = await freePorts(ip, 1);
    const all = {
      id: `i-${index}`,
      service: "drafter",
      slots: 8,
      framing: "length",
      workMs: 20,
      eventMs: 50,
      pieceMs: 0,
      ...options,
      ip,
      port,
    };
    const child = fork(REPLICA, [JSON.stringify(all)], {
      stdio: ["ignore", "inherit", "inherit", "ipc"],
    });
    this.#children.add(child);
    const replica = { ...all, child, state: "ready", sequence: 0 };
    this.replicas.push(replica);
    await new Promise((resolve) =>
      child.on("message", (message) => {
        if (message.kind === "listening") return resolve();
        const { kind, ...run } = message;
        this.runs.push(run);
        const from = run.lastEventId === undefined
          ? ""
          : ` after event ${run.lastEventId}`;
        this.record(`${run.replica} ${kind}s ${run.id}${from}`);
      })
    );
    child.once("exit", (code, signal) => {
      this.#children.delete(child);
      replica.state = "gone";
      this.record(`${replica.id} ended (${signal ?? code})`);
      // The store drops the entry after three heartbeats of silence.
      replica.lapse = setTimeout(
        () => this.store.write(`servers/${replica.id}`, undefined),
        replica.hasLeft ? 0 : 3 * HEARTBEAT_MS,
      );
    });
    this.beat(replica);
    this.#beats.push(setInterval(() => this.beat(replica), HEARTBEAT_MS));
    return replica;
  }

  /** Writes the replica's entry, as it does itself at each heartbeat. */
  beat(replica) {
    if (replica.state === "gone") return;
    replica.sequence++;
    this.store.write(`servers/${replica.id}`, {
      service: replica.service,
      address: `${replica.ip}:${replica.port}`,
      zone: "hakata",
      version: "v1",
      slots: replica.slots,
      state: replica.state,
      warmupLeftMs: 0,
      sequence: replica.sequence,
    });
  }

  /** Reports that a replica is draining; its process exits `afterMs` later. */
  async drain(replica, afterMs) {
    replica.state = "draining";
    replica.hasLeft = true;
    this.beat(replica);
    this.record(`${replica.id} reports draining, the store has accepted it`);
    await sleep(afterMs);
    this.record(`${replica.id} exits`);
    replica.child.send({ kind: "exit" });
  }

  /** Returns the replica that has run most requests. */
  findBusiest() {
    const count = ({ id }) =>
      this.runs.filter(({ replica }) => replica === id).length;
    return this.replicas.filter(({ state }) => state === "ready")
      .toSorted((left, right) => count(right) - count(left))[0];
  }

  kill(replica) {
    this.record(`${replica.id} is killed (SIGKILL)`);
    replica.child.kill("SIGKILL");
  }

  /** Sends a request and resolves with what the client saw. */
  send(host, request) {
    const { id, path, method = "POST", deadlineMs, body, headers = {} } =
      request;
    const { agent = new Agent({ keepAlive: false }), onResponse } = request;
    this.record(`client sends ${id} ${method} ${path} to ${host.name}`);
    return new Promise((resolve) => {
      let status;
      let seal;
      let received = "";
      const end = (isComplete, detail = "") => {
        clearTimeout(timer);
        this.record(
          `client has ${id}: status ${status ?? "none"}, ` +
            `${received.length} bytes, ` +
            `${isComplete ? "complete" : "incomplete"} ${detail}`,
        );
        resolve({ id, status, seal, body: received, isComplete, detail });
      };
      const call = httpRequest({
        host: host.ip,
        port: host.port,
        path,
        method,
        agent,
        headers: {
          host: HOST,
          "x-attempt-id": id,
          "x-deadline-ms": deadlineMs,
          "x-key": KEY,
          ...headers,
          ...body !== undefined && { "content-length": body.length },
        },
      }, (response) => {
        status = response.statusCode;
        seal = response.headers["x-response-seal"];
        response.setEncoding("latin1");
        response.on("data", (text) => received += text);
        response.once("close", () => end(response.complete));
        response.on("error", () => {});
        onResponse?.(response);
      });
      const timer = setTimeout(() => {
        call.destroy(new Error("deadline"));
      }, deadlineMs);
      call.on("error", (error) => {
        if (status === undefined) end(false, error.message);
      });
      call.end(body);
    });
  }

  /** Kills a host that exceeds its memory, as the platform does. */
  limitMemory(host, megabytes) {
    const check = setInterval(() => {
      if (host.hasEnded) return clearInterval(check);
      const used = readMemory(host.child.pid);
      host.peakMemory = Math.max(host.peakMemory ?? 0, used);
      if (used <= megabytes) return;
      this.record(`${host.name} uses ${used} MB, and is killed`);
      host.child.kill("SIGKILL");
    }, 100);
    this.#beats.push(check);
  }

  /** Ends everything that was started. */
  async stop() {
    for (const beat of this.#beats) clearInterval(beat);
    for (const { lapse } of this.replicas) clearTimeout(lapse);
    this.#killAll();
    await sleep(100);
    for (const { lapse } of this.replicas) clearTimeout(lapse);
    this.store.close();
  }

  #killAll() {
    for (const child of this.#children) child.kill("SIGKILL");
    rmSync(this.#folder, { recursive: true, force: true });
  }

  #createHost({ index, hosts, ports, storeAddress, graceS }) {
    const ip = `${this.#net}.${index}`;
    const name = `edge-hakata-${index}`;
    const settingsPath = join(this.#folder, `${name}.conf`);
    const ips = Array.from(
      { length: Math.min(3, hosts) },
      (_, at) => `${this.#net}.${at + 1}`,
    );
    const writeSettings = (seedIps) =>
      writeFileSync(
        settingsPath,
        createSettings({
          name,
          ip,
          ports,
          seeds: seedIps.map((seed) => `${seed}:${ports[2]}`),
          storeAddress,
          graceS,
        }),
      );
    writeSettings(ips);
    const logPath = join(this.#folder, `${name}.log`);
    return {
      name,
      ip,
      port: ports[0],
      readyPort: ports[1],
      settingsPath,
      writeSettings,
      logPath,
      readLog: () => readFileSync(logPath, "utf8"),
    };
  }

  #startHost(host) {
    const [command, ...words] = readRunLine();
    const log = openSync(host.logPath, "a");
    const child = spawn(command, words, {
      cwd: ROOT,
      env: {
        PATH: process.env.PATH,
        HOME: process.env.HOME,
        WASABIVANE_BOOT: host.settingsPath,
      },
      stdio: ["ignore", log, log],
    });
    this.#children.add(child);
    host.child = child;
    host.hasEnded = false;
    child.once("exit", (code, signal) => {
      this.#children.delete(child);
      host.hasEnded = true;
      this.record(`${host.name} ended (${signal ?? code})`);
    });
  }

  /** Kills hosts, all at the same moment. */
  async killHosts(hosts) {
    for (const { name, child } of hosts) {
      this.record(`${name} is killed (SIGKILL)`);
      child.kill("SIGKILL");
    }
    await sleep(500);
  }

  /** Starts killed hosts again, as the platform does, and waits for them. */
  async restartHosts(hosts) {
    for (const host of hosts) {
      this.record(`${host.name} starts again`);
      this.#startHost(host);
    }
    for (const host of hosts) await this.#waitUntilReady(host);
  }

  /** Changes the settings files, as the platform does. */
  setSeeds(hosts, seeds) {
    this.record(`seeds are ${seeds.map(({ name }) => name).join(", ")} now`);
    for (const host of hosts) host.writeSettings(seeds.map(({ ip }) => ip));
  }

  async #waitUntilReady(host) {
    for (let tries = 0; tries < 300; tries++) {
      if (host.hasEnded) break;
      if (await this.isReady(host)) return;
      await sleep(50);
    }
    throw new CannotRun(`${host.name} does not get ready`);
  }

  isReady({ ip, readyPort }) {
    return new Promise((resolve) => {
      const call = httpRequest(
        { host: ip, port: readyPort, path: "/readyz", agent: false },
        (response) => {
          response.resume();
          resolve(response.statusCode === 200);
        },
      );
      call.on("error", () => resolve(false));
      call.end();
    });
  }
}

/** Runs a case: `run` returns the lines that say how the rule was broken. */
export async function runCase(url, run) {
  const limit = setTimeout(() => process.exit(2), LIMIT_MS);
  const fleet = new Fleet(url);
  let code;
  try {
    const broken = await run(fleet);
    for (const line of broken) {
      fleet.record(`BROKEN ${line}`);
      console.log(`BROKEN ${line}`);
    }
    console.log(broken.length === 0 ? "The rule held" : "The rule was broken");
    code = broken.length === 0 ? 0 : 1;
  } catch (error) {
    console.log(`The case could not run: ${error.stack}`);
    code = 2;
  }
  if (process.env.REVIEW_LOGS) {
    for (const host of fleet.hosts) console.log(host.readLog());
  }
  await fleet.stop();
  clearTimeout(limit);
  process.exit(code);
}

/** Returns the memory that a process uses, in MB. */
function readMemory(pid) {
  const text = readFileSync(`/proc/${pid}/status`, "utf8");
  return Math.round(Number(/VmRSS:\s+(\d+)/.exec(text)?.[1] ?? 0) / 1_024);
}

function draw(count) {
  return Math.floor(Math.random() * count);
}

function readRunLine() {
  const text = readFileSync(join(ROOT, "deploy/system.toml"), "utf8");
  return /^run = "(.*)"$/m.exec(text)[1].split(" ");
}

async function freePorts(ip, count) {
  const servers = [];
  for (let index = 0; index < count; index++) {
    const server = createServer();
    await new Promise((resolve) => server.listen(0, ip, resolve));
    servers.push(server);
  }
  const ports = servers.map((server) => server.address().port);
  await Promise.all(
    servers.map((server) => new Promise((resolve) => server.close(resolve))),
  );
  return ports;
}

function createConfig(routes, quota = {}) {
  return {
    version: 1,
    routes: routes.map((route, index) => ({
      name: `r-${index + 1}`,
      host: HOST,
      timeoutMs: 5_000,
      targetLatencyMs: 500,
      priority: 0,
      service: "drafter",
      maxAttempts: 1,
      anonymous: false,
      ...route,
    })),
    services: [{
      name: "drafter",
      healthPath: "/healthz",
      maxConnections: 620,
    }, {
      name: "casefile",
      healthPath: "/healthz",
      maxConnections: 110,
    }],
    limits: {
      maxHeaderBytes: 16_384,
      maxBodyBytes: 4_194_304,
      headerTimeoutMs: 3_000,
      idleTimeoutMs: 15_000,
    },
    tenants: [{ name: "t-1", apiKeys: [KEY], ...quota }],
  };
}

/** Settings as DEPLOY.md shows them, with the bounds of the small sites. */
function createSettings({ name, ip, ports, seeds, storeAddress, graceS }) {
  const [frontend, ready, internal] = ports;
  return [
    `nodeName=${name}`,
    "role=entry",
    "machineClass=edge",
    "serves=edge,control",
    `ip=${ip}`,
    "zone=hakata",
    "region=fukuoka",
    "zones.hakata=fukuoka",
    `listenersMap.frontend=${ip}:${frontend}`,
    `listenersMap.ready=${ip}:${ready}`,
    `listenersMap.controlPlane=${ip}:${internal}`,
    `internalPortRange=${internal},${internal + 15}`,
    `seeds=${seeds.join(",")}`,
    "bootstrap=true",
    "limits.cpuShare=0.675",
    "limits.cores=1",
    "limits.memoryMb=200",
    "limits.fileDescriptors=4100",
    "discovery=platform",
    "entry=vip",
    `heartbeatMs=${HEARTBEAT_MS}`,
    "bounds.seedLagS=3",
    "bounds.reuseAfterS=2",
    "bounds.contactMs=3000",
    "bounds.ackMs=4000",
    "bounds.drainMs=2000",
    `bounds.graceS=${graceS}`,
    "bounds.lossSlackMs=200",
    "bounds.configApplyMs=2000",
    "bounds.revokeOnPartition=true",
    "bounds.revokeMs=5000",
    "bounds.retryBudgetRatio=0.2",
    "bounds.retryWindowS=10",
    "bounds.budgetSlack=56",
    "bounds.quotaWindowS=8",
    "bounds.quotaOverrun=0.25",
    "bounds.quotaSlack=72000",
    "bounds.recoveryS=12",
    `platform.address=${storeAddress}`,
    "platform.form=read",
    "",
  ].join("\n");
}
