import {
  type Bundle,
  BundleSource,
  exampleBundle,
  exampleSigningKey,
  type HostList,
  HostListSource,
  type PlatformError,
  type Revisioned,
  signBundle,
  type SignedBundle,
  trustedKeyOf,
  verifySignedBundle,
} from "@wasabivane/bundle";
import {
  asBundleVersion,
  Blackboard,
  createTopic,
  type HostId,
  MemoryMetrics,
  type Milliseconds,
  SeededRandom,
  VirtualTimer,
} from "@wasabivane/common";
import {
  BUNDLE_IN_FORCE,
  ConfigurationController,
  type ConfigurationMember,
  MemoryNetwork,
} from "@wasabivane/coordination";
import { ok, type Result } from "neverthrow";
import {
  costSince,
  type HostCost,
  hostName,
  LINK_DELAY_MS,
  MEASURED_MS,
  readCostCounters,
  WARM_UP_MS,
} from "./slopeFleet.ts";

const SETTLE_MS: Milliseconds = 4_000;
const TIMER_STEP_MS: Milliseconds = 5;
const CHANGES = 3;
const SECOND = 1_000;

/** Cost of a configuration change for a fleet. */
export interface ChangeCost {
  /** Bytes sent per host and change in addition to idle traffic. */
  readonly bytesPerHost: number;
  /** Maximum time until a change is in force on every host. */
  readonly inForceMs: Milliseconds;
}

/** Cost of starting all hosts of a fleet at once. */
export interface StartCost {
  /** Platform reads during the warm-up. */
  readonly reads: number;
}

const MEMBERS = createTopic<readonly ConfigurationMember[]>(
  "slope-members",
  [],
);
const SIGNING_KEY = exampleSigningKey();
const TRUSTED_KEYS = [trustedKeyOf(SIGNING_KEY)];

/** Measures the configuration costs of a fleet: start, idle and changes. */
export async function measureConfiguration(
  size: number,
): Promise<{ idle: HostCost; change: ChangeCost; start: StartCost }> {
  const fleet = new ConfigurationFleet(size);
  await fleet.advance(WARM_UP_MS);
  const start = { reads: fleet.platform.reads };
  const startCounters = readCostCounters(fleet.network);
  await fleet.advance(MEASURED_MS);
  const idle = costSince(startCounters, fleet.network, {
    size,
    span: MEASURED_MS,
  });
  return { idle, change: await fleet.measureChanges(idle), start };
}

/** Configuration controllers on a simulated network and platform. */
class ConfigurationFleet {
  readonly timer = new VirtualTimer();
  readonly network: MemoryNetwork;
  readonly platform: VirtualPlatform;
  readonly #size: number;
  readonly #bundle: Bundle = exampleBundle("fukuoka");
  readonly #inForceAt = new Map<number, Milliseconds[]>();

  constructor(size: number) {
    this.#size = size;
    const random = new SeededRandom(size);
    const { timer } = this;
    this.network = new MemoryNetwork({ timer, random, delayMs: LINK_DELAY_MS });
    this.platform = new VirtualPlatform(timer);
    this.#publish(1);
    const hosts = Array.from({ length: size }, (_, index) => hostName(index));
    const members = hosts.map((host) => ({ host, state: "alive" as const }));
    for (const host of hosts) this.#start(host, { members, random });
  }

  async advance(span: Milliseconds): Promise<void> {
    const end = this.timer.now() + span;
    while (this.timer.now() < end) {
      this.timer.advance(TIMER_STEP_MS);
      for (let turn = 0; turn < 4; turn++) await Promise.resolve();
    }
  }

  async measureChanges(idle: HostCost): Promise<ChangeCost> {
    const before = this.network.sentBytes;
    let inForceMs = 0;
    for (let change = 1; change <= CHANGES; change++) {
      const since = this.timer.now();
      this.#publish(1 + change);
      await this.advance(SETTLE_MS);
      const times = this.#inForceAt.get(1 + change) ?? [];
      const isInForceEverywhere = times.length === this.#size;
      const last = isInForceEverywhere ? Math.max(...times) - since : Infinity;
      inForceMs = Math.max(inForceMs, last);
    }
    const idleBytes = idle.bytes * SETTLE_MS / SECOND * CHANGES;
    const sentPerHost = (this.network.sentBytes - before) / this.#size;
    return { bytesPerHost: (sentPerHost - idleBytes) / CHANGES, inForceMs };
  }

  /** Publishes a change of one service's concurrency limit. */
  #publish(version: number): void {
    const services = this.#bundle.services.map((service, index) =>
      index === 0 ? { ...service, maximumConcurrency: 64 + version } : service
    );
    const bundle = {
      ...this.#bundle,
      services,
      version: asBundleVersion(version),
    };
    this.platform.publish(signBundle(bundle, SIGNING_KEY)._unsafeUnwrap());
  }

  #start(
    host: HostId,
    { members, random }: {
      members: readonly ConfigurationMember[];
      random: SeededRandom;
    },
  ): void {
    const blackboard = new Blackboard();
    blackboard.write(MEMBERS, members);
    blackboard.watch(BUNDLE_IN_FORCE, (signed) => {
      if (signed !== undefined) this.#recordInForce(signed.bundle.version);
    });
    new ConfigurationController({
      blackboard,
      link: this.network.join(host),
      timer: this.timer,
      random,
      metrics: new MemoryMetrics(),
      members: MEMBERS,
      bundleSource: new VirtualBundleSource(this.platform),
      hostListSource: new VirtualHostListSource(this.platform),
      verify: (signed) => verifySignedBundle(signed, TRUSTED_KEYS),
    }).start();
  }

  #recordInForce(version: number): void {
    const times = this.#inForceAt.get(version) ?? [];
    times.push(this.timer.now());
    this.#inForceAt.set(version, times);
  }
}

type ReadResult<Value> = Result<Revisioned<Value> | undefined, PlatformError>;

/** Simulated platform with long-poll reads. */
class VirtualPlatform {
  reads = 0;
  readonly #timer: VirtualTimer;
  readonly #pendingReads = new Set<() => void>();
  #bundle: Revisioned<SignedBundle> | undefined;

  constructor(timer: VirtualTimer) {
    this.#timer = timer;
  }

  publish(signed: SignedBundle): void {
    this.#bundle = { revision: signed.bundle.version, value: signed };
    for (const wake of [...this.#pendingReads]) wake();
  }

  readBundle(
    options: { afterRevision: number; waitMs: Milliseconds },
  ): Promise<ReadResult<SignedBundle>> {
    const newer = (): Revisioned<SignedBundle> | undefined =>
      this.#bundle !== undefined &&
        this.#bundle.revision > options.afterRevision
        ? this.#bundle
        : undefined;
    return this.#read(options.waitMs, newer);
  }

  readHosts(waitMs: Milliseconds): Promise<ReadResult<HostList>> {
    return this.#read(waitMs, () => undefined);
  }

  #read<Value>(
    waitMs: Milliseconds,
    newer: () => Revisioned<Value> | undefined,
  ): Promise<ReadResult<Value>> {
    this.reads++;
    return new Promise((resolve) => {
      const respond = (): void => {
        if (!this.#pendingReads.delete(respond)) return;
        timeout.cancel();
        this.#timer.after(LINK_DELAY_MS, () => resolve(ok(newer())));
      };
      this.#pendingReads.add(respond);
      const timeout = this.#timer.after(waitMs, respond);
      if (newer() !== undefined) respond();
    });
  }
}

class VirtualBundleSource extends BundleSource {
  readonly #platform: VirtualPlatform;

  constructor(platform: VirtualPlatform) {
    super();
    this.#platform = platform;
  }

  override read(
    options: { afterRevision: number; waitMs: Milliseconds },
  ): Promise<ReadResult<SignedBundle>> {
    return this.#platform.readBundle(options);
  }
}

class VirtualHostListSource extends HostListSource {
  readonly #platform: VirtualPlatform;

  constructor(platform: VirtualPlatform) {
    super();
    this.#platform = platform;
  }

  override read(
    options: { afterRevision: number; waitMs: Milliseconds },
  ): Promise<ReadResult<HostList>> {
    return this.#platform.readHosts(options.waitMs);
  }
}
