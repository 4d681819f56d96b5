import {
  asId,
  type HostId,
  type RequestId,
  SeededRandom,
  type ServiceId,
  sleep,
  VirtualTimer,
} from "@wasabivane/common";
import {
  type SoftwareVersion,
  UpstreamDirectory,
  VersionHistory,
} from "@wasabivane/admission";
import {
  encodeMessage,
  type PeerMessage,
  type StreamOrigin,
  StreamOrigins,
} from "@wasabivane/gateway";
import test from "ava";
import type { AdmittedRequest } from "../src/requestAdmission.ts";
import { bindToOrigin } from "../src/streamTakeUp.ts";
import { buildEntry, buildRoute } from "./helpers/fleet.ts";

const SERVICE = asId<ServiceId>("plans");
const STREAM_AGE_MS = 30_000;
const HOP_MS = 1;
const HOSTS = 7;

/** Hosts that exchange messages in virtual time. */
class OriginFleet {
  readonly timer = new VirtualTimer();
  readonly directory = new UpstreamDirectory();
  readonly hosts = new Map<HostId, StreamOrigins>();
  readonly sent: PeerMessage[] = [];
  /** Whether hosts can show that their lists are current. */
  isConfirmable = true;
  confirmations = 0;
  /** Time that a confirmation takes, each host's own. */
  confirmationTime = 0;
  /** Whether a message is lost on its way. */
  isLost: (message: PeerMessage) => boolean = () => false;

  constructor({ versions, hostCount = HOSTS }: {
    versions: readonly string[];
    hostCount?: number;
  }) {
    for (const version of versions) this.list(version);
    for (let index = 0; index < hostCount; index++) this.start(`h${index}`);
  }

  list(version: string): void {
    this.directory.set(
      buildEntry(`u-${version}`, { address: "127.0.0.1:1", version }),
    );
  }

  /** Starts a host with an empty memory. */
  start(name: string): StreamOrigins {
    const host = asId<HostId>(name);
    const { timer, directory } = this;
    const maximumStreamAge = (): number => STREAM_AGE_MS;
    const origins = new StreamOrigins({
      host,
      timer,
      maximumStreamAge,
      versions: new VersionHistory({
        directory,
        maximumStreamAge,
        completeSince: timer.now() === 0 ? -Infinity : timer.now(),
        isCurrent: () => true,
      }),
      isConfirmable: () => this.isConfirmable,
      confirmList: () => {
        this.confirmations++;
        if (this.confirmationTime === 0) {
          return Promise.resolve(this.isConfirmable);
        }
        return sleep(timer, this.confirmationTime)
          .then(() => this.isConfirmable);
      },
      hosts: () => [...this.hosts.keys()],
      send: (to, message) => this.#deliver(to, message),
    });
    this.hosts.set(host, origins);
    return origins;
  }

  stop(name: string): void {
    this.hosts.delete(asId<HostId>(name));
  }

  at(name: string): StreamOrigins {
    return this.hosts.get(asId<HostId>(name))!;
  }

  /** Returns the version that a host finds; undefined if it does not know. */
  async resolve(name: string, resumes: string): Promise<string | undefined> {
    const found = this.at(name).resolve({
      request: asId<RequestId>(`take-up-${resumes}`),
      resumes: asId<RequestId>(resumes),
      service: SERVICE,
    });
    for (let step = 0; step < 500; step++) {
      this.timer.advance(1);
      await Promise.resolve();
    }
    return (await found)?.softwareVersion;
  }

  #deliver(to: HostId, message: PeerMessage): void {
    this.sent.push(message);
    if (this.isLost(message)) return;
    this.timer.after(HOP_MS, () => {
      const host = this.hosts.get(to);
      if (message.kind === "begun") host?.keep(message.records);
      if (message.kind === "seek") host?.reply(message.query);
      if (message.kind === "origin") host?.receive(message.reply);
    });
  }
}

function originAt(version: string): StreamOrigin {
  return {
    service: SERVICE,
    softwareVersion: asId<SoftwareVersion>(version),
  };
}

function begin(fleet: OriginFleet, { host, ids, version }: {
  host: string;
  ids: readonly string[];
  version: string;
}): void {
  for (const id of ids) {
    fleet.at(host).begin(asId<RequestId>(id), originAt(version));
  }
  fleet.timer.advance(10);
}

const IDS = Array.from({ length: 40 }, (_, index) => `q${index}`);

test("a service with one version needs no message", async (t) => {
  // Guards against a cost of streams that need no record.
  const fleet = new OriginFleet({ versions: ["a"] });
  begin(fleet, { host: "h0", ids: IDS, version: "a" });
  t.is(fleet.confirmations, 0);
  for (const id of IDS) t.is(await fleet.resolve("h3", id), "a");
  t.is(fleet.sent.length, 0);
  t.is(fleet.confirmations, IDS.length);
});

test("a host that cannot confirm its list asks, and does not take a version for the only one", async (t) => {
  // Guards against streams of a version that this host has yet to hear of.
  const fleet = new OriginFleet({ versions: ["a"] });
  begin(fleet, { host: "h0", ids: ["q0"], version: "a" });
  fleet.isConfirmable = false;
  t.is(await fleet.resolve("h3", "unknown"), undefined);
  fleet.at("h0").tick();
  t.is(await fleet.resolve("h3", "q0"), "a");
});

test("streams are told of while no host can confirm its list", async (t) => {
  // Guards against streams that cannot go on while the store is away.
  const fleet = new OriginFleet({ versions: ["a"] });
  fleet.isConfirmable = false;
  begin(fleet, { host: "h0", ids: IDS, version: "a" });
  fleet.stop("h0");
  for (const id of IDS) t.is(await fleet.resolve("h2", id), "a");
});

test("a host that has just started asks hosts that know the only version", async (t) => {
  // Guards against a restart after which streams do not go on.
  const fleet = new OriginFleet({ versions: ["a"] });
  begin(fleet, { host: "h0", ids: IDS, version: "a" });
  fleet.timer.advance(1_000);
  fleet.start("h3");
  for (const id of IDS) t.is(await fleet.resolve("h3", id), "a");
});

test("each stream costs three messages while its service has several versions", (t) => {
  const fleet = new OriginFleet({ versions: ["a", "b"] });
  begin(fleet, { host: "h0", ids: IDS, version: "a" });
  t.is(fleet.sent.length, 3 * IDS.length);
  const bytes = fleet.sent.map((message) => encodeMessage(message, 0).length);
  t.true(Math.max(...bytes) < 100);
});

test("any host finds a stream's version although the host that had it is lost", async (t) => {
  const fleet = new OriginFleet({ versions: ["a", "b"] });
  begin(fleet, { host: "h0", ids: IDS, version: "b" });
  fleet.stop("h0");
  for (const [index, id] of IDS.entries()) {
    t.is(await fleet.resolve(`h${1 + index % 6}`, id), "b");
  }
});

test("half of the streams are found although hosts were lost and others started", async (t) => {
  // Guards against records whose keepers change with the fleet.
  const fleet = new OriginFleet({ versions: ["a", "b"], hostCount: 20 });
  begin(fleet, { host: "h0", ids: IDS, version: "b" });
  for (const host of ["h0", "h1", "h2", "h3", "h4", "h5"]) fleet.stop(host);
  for (const host of ["n0", "n1", "n2", "n3"]) fleet.start(host);
  let found = 0;
  for (const id of IDS) {
    const version = await fleet.resolve("n0", id);
    t.true(version === undefined || version === "b");
    if (version !== undefined) found++;
  }
  t.true(found >= IDS.length / 2, `${found} of ${IDS.length}`);
});

test("a lost reply is asked for again", async (t) => {
  const fleet = new OriginFleet({ versions: ["a", "b"] });
  begin(fleet, { host: "h0", ids: IDS, version: "a" });
  let replies = 0;
  fleet.isLost = ({ kind }) => kind === "origin" && replies++ < 6;
  t.is(await fleet.resolve("h1", "q39"), "a");
});

test("a stream that nobody knows stays unknown, also where hosts do not reply", async (t) => {
  // Guards against a host that guesses.
  const fleet = new OriginFleet({ versions: ["a", "b"] });
  t.is(await fleet.resolve("h1", "unknown"), undefined);
  fleet.isLost = () => true;
  t.is(await fleet.resolve("h1", "unknown"), undefined);
});

test("streams under way when a second version appears go on at theirs", async (t) => {
  // Guards against streams that began before records were needed.
  const fleet = new OriginFleet({ versions: ["a"] });
  begin(fleet, { host: "h0", ids: IDS, version: "a" });
  fleet.list("b");
  fleet.at("h0").tick();
  fleet.timer.advance(10);
  fleet.stop("h0");
  for (const id of IDS) t.is(await fleet.resolve("h2", id), "a");
});

test("records are dropped once no stream of theirs can go on", (t) => {
  // Guards against memory that grows with the streams served.
  const fleet = new OriginFleet({ versions: ["a", "b"] });
  begin(fleet, { host: "h0", ids: IDS, version: "a" });
  const kept = (): number =>
    [...fleet.hosts.values()].reduce((total, { size }) => total + size, 0);
  t.is(kept(), 4 * IDS.length);
  fleet.timer.advance(STREAM_AGE_MS + 1);
  for (const host of fleet.hosts.values()) host.tick();
  t.is(kept(), 0);
});

test("a host that has just started waits for peers that are confirming their list", async (t) => {
  // Guards against streams that are refused while the store takes its time.
  const fleet = new OriginFleet({ versions: ["a"] });
  fleet.timer.advance(STREAM_AGE_MS);
  fleet.start("new");
  for (const confirmationTime of [20, 200, 450]) {
    fleet.confirmationTime = confirmationTime;
    t.is(await fleet.resolve("new", `s-${confirmationTime}`), "a");
  }
});

test("a query ends once those that were confirming have replied, whatever the order of replies", async (t) => {
  // Guards against refusals that come a second late beside a host that is lost.
  const fleet = new OriginFleet({ versions: ["a", "b"], hostCount: 0 });
  const asking = fleet.start("asking");
  for (const name of ["confirming", "lost"]) fleet.start(name);
  fleet.isLost = () => true;
  const request = asId<RequestId>("take-up");
  const found = asking.resolve({
    request,
    resumes: undefined,
    service: SERVICE,
  });
  const reply = {
    host: asId<HostId>("confirming"),
    request,
    origin: undefined,
  };
  asking.receive({ ...reply, isPending: true });
  fleet.timer.advance(400);
  asking.receive({ ...reply, isPending: false });
  asking.receive({ ...reply, isPending: true });
  t.is(await found, undefined);
});

test("a caller whose stream is searched for is refused while it has time to try again", async (t) => {
  // Guards against a refusal that comes after the caller has left.
  const timer = new VirtualTimer();
  const admitted: AdmittedRequest = {
    route: buildRoute({ isStreaming: true, repeatability: "resumable" }),
    service: SERVICE,
    account: undefined,
    metadata: {
      requestId: asId("take-up"),
      apiKey: undefined,
      timeLeft: 500,
      tokens: undefined,
      expectedTokens: undefined,
      promptParts: [],
      lastEventId: 3,
      resumes: undefined,
    },
    arrivedAt: 0,
    deadline: 500,
    policyVersion: 1,
  };
  const bound = bindToOrigin(admitted, {
    timer,
    random: new SeededRandom(1),
    streamOrigins: { resolve: () => new Promise(() => {}) },
  });
  timer.advance(250);
  t.like((await bound)._unsafeUnwrapErr(), { status: 503 });
});
