import {
  type Bundle,
  exampleBundle,
  exampleSigningKey,
  type HostList,
  signBundle,
  type SignedBundle,
  trustedKeyOf,
} from "@wasabivane/bundle";
import {
  asBundleVersion,
  asId,
  type HostId,
  type Incarnation,
  type Milliseconds,
  type Random,
  type Timer,
} from "@wasabivane/common";
import { type MemoryLink, MemoryNetwork } from "@wasabivane/coordination";
import {
  type CallerApi,
  EntryHost,
  type EntryHostOptions,
  type Settings,
  settingsSchema,
} from "@wasabivane/entry";
import { FakePlatform } from "./fakePlatform.ts";
import {
  FakeUpstream,
  FakeUpstreamClient,
  type UpstreamEnvironment,
} from "./fakeUpstreams.ts";
import { type FaultScenario, SCENARIO_UPSTREAMS } from "./scenario.ts";
import type { ScenarioJournal } from "./scenarioJournal.ts";
import { ScenarioProcess } from "./scenarioProcess.ts";

const DEFAULT_HOSTS = 4;
/** Delay until the platform's host list reflects a change. */
const HOST_LIST_DELAY_MS: Milliseconds = 1_000;
const SIGNING_KEY = exampleSigningKey();
const SIGNED_BUNDLES = new Map<string, SignedBundle>();

/** An incarnation of an entry host. */
export interface ScenarioHost {
  readonly host: string;
  readonly incarnation: string;
  readonly process: ScenarioProcess;
  readonly link: MemoryLink;
  readonly entry: EntryHost;
  readonly callerApi: CallerApi;
  isPaused: boolean;
}

/** Overrides that disable safeguards, to test that violations are detected. */
export interface Safeguards {
  /** Whether the client verifies the nonce in the response head. */
  readonly shouldCheckNonce?: boolean;
  /** Overrides the options of every entry host. */
  readonly overrideOptions?: (options: EntryHostOptions) => EntryHostOptions;
  /** Called with every entry host before it starts. */
  readonly beforeStart?: (entry: EntryHost) => void;
}

/** Simulated entry hosts, upstreams, platform and network of a scenario. */
export class ScenarioFleet {
  readonly platform: FakePlatform;
  readonly network: MemoryNetwork;
  readonly hosts = new Map<string, ScenarioHost>();
  readonly upstreams = new Map<string, FakeUpstream>();
  readonly #byUrl = new Map<string, FakeUpstream>();
  readonly #scenario: FaultScenario;
  readonly #timer: Timer;
  readonly #random: Random;
  readonly #journal: ScenarioJournal;
  readonly #safeguards: Safeguards;
  readonly #environment: UpstreamEnvironment;
  readonly #leaving = new Set<string>();
  #hostListVersion = 0;
  #starts = 0;

  constructor(
    { scenario, timer, random, journal, safeguards }: {
      scenario: FaultScenario;
      timer: Timer;
      random: Random;
      journal: ScenarioJournal;
      safeguards: Safeguards;
    },
  ) {
    this.#scenario = scenario;
    this.#timer = timer;
    this.#random = random;
    this.#journal = journal;
    this.#safeguards = safeguards;
    this.platform = new FakePlatform(timer);
    this.network = new MemoryNetwork({
      timer,
      random,
      jitterMs: 1,
      ...scenario.link,
    });
    const shouldCheckNonce = safeguards.shouldCheckNonce ?? true;
    this.#environment = { timer, journal, shouldCheckNonce };
    for (const { upstream, url } of this.#createBundle(1).upstreams) {
      const fake = new FakeUpstream(upstream, this.#environment);
      this.upstreams.set(upstream, fake);
      this.#byUrl.set(url, fake);
    }
    this.platform.onHostListRead = ({ upstreams }) =>
      this.#recordLeaving(upstreams);
  }

  /** Names of all hosts, whether running or not. */
  get hostNames(): string[] {
    const count = this.#scenario.hosts ?? DEFAULT_HOSTS;
    return Array.from({ length: count }, (_, index) => `entry-${index + 1}`);
  }

  /** Hosts that are running and not paused. */
  get running(): ScenarioHost[] {
    return [...this.hosts.values()].filter(({ isPaused }) => !isPaused);
  }

  start(): void {
    this.platform.setState(this.#scenario.platformAtStart ?? "up");
    this.publishBundle(1);
    for (const host of this.hostNames) this.startHost(host);
    this.#publishHostList();
  }

  /** Starts a host without state and kills its previous process. */
  startHost(host: string): void {
    if (this.hosts.has(host)) this.killHost(host);
    const skewMs = this.#scenario.clockSkewMs?.[host];
    const process = new ScenarioProcess(this.#timer, { skewMs });
    const link = this.network.join(asId<HostId>(host));
    const incarnation = `start-${++this.#starts}`;
    const options: EntryHostOptions = {
      settings: this.#createSettings(host),
      incarnation: asId<Incarnation>(incarnation),
      timer: process,
      random: this.#random,
      link,
      client: new FakeUpstreamClient({
        host,
        process,
        environment: this.#environment,
        upstreams: this.#byUrl,
      }),
      ...this.platform.sourcesOf(host, process),
      log: this.#createLog(host, incarnation),
    };
    const entry = new EntryHost(
      this.#safeguards.overrideOptions?.(options) ?? options,
    );
    this.#safeguards.beforeStart?.(entry);
    const callerApi = entry.createCallerApi();
    entry.start();
    this.hosts.set(host, {
      host,
      incarnation,
      process,
      link,
      entry,
      callerApi,
      isPaused: false,
    });
    this.#journal.add({ kind: "disturbed", how: "started", hosts: [host] });
    this.#scheduleHostList();
  }

  /** Kills a host process; it sends and receives nothing afterwards. */
  killHost(host: string): void {
    const killed = this.hosts.get(host);
    if (killed === undefined) return;
    this.hosts.delete(host);
    killed.link.close();
    killed.process.kill();
    killed.entry.stop();
    this.#journal.add({ kind: "disturbed", how: "killed", hosts: [host] });
    this.#scheduleHostList();
  }

  pauseHost(host: string, forMs: Milliseconds): void {
    const paused = this.hosts.get(host);
    if (paused === undefined || paused.isPaused) return;
    paused.isPaused = true;
    paused.process.pause();
    paused.link.pause();
    this.#journal.add({ kind: "disturbed", how: "paused", hosts: [host] });
    this.#timer.after(forMs, () => this.resumeHost(paused));
  }

  resumeHost(paused: ScenarioHost): void {
    if (!paused.isPaused || this.hosts.get(paused.host) !== paused) return;
    paused.isPaused = false;
    paused.process.resume();
    paused.link.resume();
    const hosts = [paused.host];
    this.#journal.add({ kind: "disturbed", how: "woken", hosts });
  }

  publishBundle(version: number): void {
    this.platform.publishBundle(this.#signedBundle(version));
  }

  markLeaving(upstreams: readonly string[]): void {
    for (const upstream of upstreams) this.#leaving.add(upstream);
    this.#publishHostList();
  }

  #scheduleHostList(): void {
    if (this.#hostListVersion === 0) return;
    this.#timer.after(HOST_LIST_DELAY_MS, () => this.#publishHostList());
  }

  #publishHostList(): void {
    const { failureDomains, upstreams } = this.#createBundle(1);
    const hostList: HostList = {
      version: ++this.#hostListVersion,
      entryHosts: this.hostNames.filter((host) => this.hosts.has(host)).map((
        host,
      ) => ({
        host: asId(host),
        peerAddress: `10.0.0.${host.slice("entry-".length)}:7000`,
        failureDomain: failureDomains[this.#domainIndex(host)]!.failureDomain,
        state: "live",
      })),
      upstreams: upstreams.map(({ upstream }) => ({
        upstream,
        state: this.#leaving.has(upstream) ? "leaving" : "live",
      })),
    };
    this.platform.publishHosts(hostList);
  }

  #recordLeaving(upstreams: HostList["upstreams"]): void {
    const leaving = upstreams.filter(({ state }) => state === "leaving");
    if (leaving.length === 0) return;
    this.#journal.add({
      kind: "leaving-read",
      upstreams: leaving.map(({ upstream }) => upstream),
    });
  }

  #domainIndex(host: string): number {
    const { failureDomains } = this.#createBundle(1);
    return Number(host.slice("entry-".length)) % failureDomains.length;
  }

  #createBundle(version: number): Bundle {
    const { maximumWaitingTokens, concurrency } = this.#scenario;
    const example = exampleBundle("fukuoka", { version });
    return {
      ...example,
      version: asBundleVersion(version),
      services: example.services.map((service) => ({
        ...service,
        ...(maximumWaitingTokens === undefined ? {} : { maximumWaitingTokens }),
        ...(concurrency === undefined ? {} : {
          initialConcurrency: concurrency,
          maximumConcurrency: concurrency,
        }),
      })),
      upstreams: example.upstreams.filter(({ upstream }) =>
        SCENARIO_UPSTREAMS.some((name) => name === upstream)
      ),
    };
  }

  #signedBundle(version: number): SignedBundle {
    const { maximumWaitingTokens, concurrency } = this.#scenario;
    const key = `${version} ${maximumWaitingTokens} ${concurrency}`;
    const signed = SIGNED_BUNDLES.get(key) ??
      signBundle(this.#createBundle(version), SIGNING_KEY)._unsafeUnwrap();
    SIGNED_BUNDLES.set(key, signed);
    return signed;
  }

  #createSettings(host: string): Settings {
    const { failureDomains } = this.#createBundle(1);
    return settingsSchema.parse({
      host,
      failureDomain: failureDomains[this.#domainIndex(host)]!.failureDomain,
      callers: { port: 0 },
      operators: { port: 0 },
      peers: { port: 0, secrets: ["secret-of-all-scenarios"] },
      platform: {
        configurationUrl: "http://127.0.0.1:1",
        hostListUrl: "http://127.0.0.1:1",
      },
      trustedKeys: [trustedKeyOf(SIGNING_KEY)],
    });
  }

  #createLog(host: string, incarnation: string): EntryHostOptions["log"] {
    const recordInForce = (
      line: { kind?: string; mark?: { version: number } },
    ): void => {
      if (line.kind !== "in-force" || line.mark === undefined) return;
      const { version } = line.mark;
      this.#journal.add({ kind: "in-force", host, incarnation, version });
    };
    const ignore = (): void => {};
    return {
      info: recordInForce,
      warn: ignore,
      error: ignore,
      debug: ignore,
    } as unknown as EntryHostOptions["log"];
  }
}
