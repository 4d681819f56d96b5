import {
  type Bundle,
  exampleBundle,
  exampleSigningKey,
  signBundle,
  type SignedBundle,
  type SigningKey,
  trustedKeyOf,
  verifySignedBundle,
} from "@wasabivane/bundle";
import {
  asBundleVersion,
  asId,
  Blackboard,
  type ClientAccountId,
  createTopic,
  type HostId,
  MemoryMetrics,
  type Milliseconds,
  SeededRandom,
  VirtualTimer,
} from "@wasabivane/common";
import {
  BUNDLE_IN_FORCE,
  type ConfigurationChange,
  ConfigurationController,
  type ConfigurationMember,
  type MemoryLink,
  MemoryNetwork,
} from "@wasabivane/coordination";
import { advance } from "./asyncTime.ts";
import {
  FakeBundleSource,
  FakeHostListSource,
  FakePlatform,
} from "./platform.ts";

const MEMBERS = createTopic<readonly ConfigurationMember[]>("members", []);

/** One host of a {@link ConfigurationFleet}. */
export interface ConfigurationHost {
  readonly host: HostId;
  readonly blackboard: Blackboard;
  readonly metrics: MemoryMetrics;
  readonly link: MemoryLink;
  readonly controller: ConfigurationController;
  readonly changes: ConfigurationChange[];
  /** Time at which each version came into force. */
  readonly inForceAt: Map<number, Milliseconds>;
}

/**
 * Runs configuration controllers of several hosts over one in-memory network.
 */
export class ConfigurationFleet {
  readonly timer = new VirtualTimer();
  readonly random: SeededRandom;
  readonly network: MemoryNetwork;
  readonly platform = new FakePlatform(this.timer);
  readonly hosts = new Map<HostId, ConfigurationHost>();

  constructor({ size = 8, seed = 1 } = {}) {
    this.random = new SeededRandom(seed);
    const { timer, random } = this;
    this.network = new MemoryNetwork({
      timer,
      random,
      delayMs: 1,
      jitterMs: 1,
    });
    for (let index = 1; index <= size; index++) this.add(hostName(index));
    this.refreshMembers();
  }

  /** Starts a host without configuration. */
  add(host: HostId): ConfigurationHost {
    const blackboard = new Blackboard();
    const metrics = new MemoryMetrics();
    const changes: ConfigurationChange[] = [];
    const inForceAt = new Map<number, Milliseconds>();
    const link = this.network.join(host);
    blackboard.watch(BUNDLE_IN_FORCE, (signed) => {
      if (signed) inForceAt.set(signed.bundle.version, this.timer.now());
    });
    const controller = new ConfigurationController({
      blackboard,
      link,
      timer: this.timer,
      random: this.random,
      metrics,
      members: MEMBERS,
      bundleSource: new FakeBundleSource(this.platform, host),
      hostListSource: new FakeHostListSource(this.platform, host),
      verify: (signed) => verifySignedBundle(signed, [TRUSTED_KEY]),
      log: (change) => changes.push(change),
    });
    const added = {
      host,
      blackboard,
      metrics,
      link,
      controller,
      changes,
      inForceAt,
    };
    this.hosts.set(host, added);
    controller.start();
    return added;
  }

  /** Updates every host's membership. */
  refreshMembers(): void {
    const members = [...this.hosts.keys()].map((host) => ({
      host,
      state: "alive" as const,
    }));
    for (const { blackboard } of this.hosts.values()) {
      blackboard.write(MEMBERS, members);
    }
  }

  /** Kills a host. */
  kill(host: HostId): void {
    this.hosts.get(host)?.link.close();
    this.hosts.get(host)?.controller.stop();
    this.hosts.delete(host);
  }

  advance(span: Milliseconds): Promise<void> {
    return advance(this.timer, span);
  }

  /** Returns the version in force on each host; 0 for none. */
  versions(): number[] {
    return [...this.hosts.values()].map(({ blackboard }) =>
      blackboard.read(BUNDLE_IN_FORCE)?.bundle.version ?? 0
    );
  }

  /** Returns the distinct roots in force. */
  roots(): string[] {
    const roots = [...this.hosts.values()].map(({ blackboard }) =>
      blackboard.read(BUNDLE_IN_FORCE)?.root ?? ""
    );
    return [...new Set(roots)];
  }

  /** Returns the time from `since` until the version was in force, by host. */
  delaysOf(version: number, since: Milliseconds): Milliseconds[] {
    return [...this.hosts.values()].map(({ inForceAt }) =>
      (inForceAt.get(version) ?? Infinity) - since
    );
  }

  /** Returns the sum of a counter over all hosts. */
  count(name: string): number {
    return [...this.hosts.values()].reduce(
      (sum, { metrics }) =>
        sum + Object.entries(metrics.counters())
          .filter(([key]) => key === name || key.startsWith(`${name}{`))
          .reduce((total, [, value]) => total + value, 0),
      0,
    );
  }
}

const SIGNING_KEY = exampleSigningKey();
const TRUSTED_KEY = trustedKeyOf(SIGNING_KEY);

/** Returns the name of a host by its number. */
export function hostName(index: number): HostId {
  return asId<HostId>(`entry-${index}`);
}

/**
 * Creates a signed bundle; `weight` varies its content and `accounts` its size.
 */
export function bundleOf(
  version: number,
  { weight = 1, accounts = 0, key = SIGNING_KEY }: {
    weight?: number;
    accounts?: number;
    key?: SigningKey;
  } = {},
): SignedBundle {
  const base = exampleBundle("fukuoka");
  const bundle: Bundle = {
    ...base,
    version: asBundleVersion(version),
    domainDistanceMs: weight,
    clientAccounts: [
      ...base.clientAccounts,
      ...Array.from({ length: accounts }, (_, index) => ({
        ...base.clientAccounts[0]!,
        account: asId<ClientAccountId>(`account-${index}`),
        keyDigests: [String(index).padStart(64, "0")],
      })),
    ],
  };
  return signBundle(bundle, key)._unsafeUnwrap();
}
