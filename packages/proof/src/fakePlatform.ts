import {
  BundleSource,
  type HostList,
  HostListSource,
  type PlatformError,
  type Revisioned,
  type SignedBundle,
} from "@wasabivane/bundle";
import type { Milliseconds, Timer } from "@wasabivane/common";
import { err, ok, type Result } from "neverthrow";
import type { PlatformState } from "./scenario.ts";
import type { ScenarioProcess } from "./scenarioProcess.ts";

type ReadResult<Value> = Result<Revisioned<Value> | undefined, PlatformError>;
type ReadOptions = { afterRevision: number; waitMs: Milliseconds };

const LATENCY_MS = 2;
const POLL_MS = 50;

/** A published value and the older one that a stale service still returns. */
class PublishedValue<Value> {
  #current: Revisioned<Value> | undefined;
  #visible: Revisioned<Value> | undefined;

  publish(value: Value, { isStale }: { isStale: boolean }): void {
    const revision = (this.#current?.revision ?? 0) + 1;
    this.#current = { revision, value };
    if (!isStale) this.#visible = this.#current;
  }

  refresh(): void {
    this.#visible = this.#current;
  }

  newerThan(revision: number): Revisioned<Value> | undefined {
    const visible = this.#visible;
    return visible !== undefined && visible.revision > revision
      ? visible
      : undefined;
  }
}

/** Simulated platform that is up, down or stale, for all or some hosts. */
export class FakePlatform {
  readonly #timer: Timer;
  readonly #bundle = new PublishedValue<SignedBundle>();
  readonly #hostList = new PublishedValue<HostList>();
  readonly #disconnectedHosts = new Set<string>();
  /** Called after a host reads a host list. */
  onHostListRead: (hostList: HostList) => void = () => {};
  #state: PlatformState = "up";

  constructor(timer: Timer) {
    this.#timer = timer;
  }

  setState(state: PlatformState, hosts?: readonly string[]): void {
    if (hosts !== undefined) {
      for (const host of hosts) {
        if (state === "down") this.#disconnectedHosts.add(host);
        else this.#disconnectedHosts.delete(host);
      }
      return;
    }
    this.#state = state;
    this.#disconnectedHosts.clear();
    if (state === "stale") return;
    this.#bundle.refresh();
    this.#hostList.refresh();
  }

  publishBundle(signed: SignedBundle): void {
    this.#bundle.publish(signed, { isStale: this.#state === "stale" });
  }

  publishHosts(hostList: HostList): void {
    this.#hostList.publish(hostList, { isStale: this.#state === "stale" });
  }

  /** Creates the bundle and host list sources of a host. */
  sourcesOf(
    host: string,
    process: ScenarioProcess,
  ): { bundleSource: BundleSource; hostListSource: HostListSource } {
    const bundles = (read: ReadOptions): Promise<ReadResult<SignedBundle>> =>
      this.#read(this.#bundle, { ...read, host, process });
    const hostLists = async (
      read: ReadOptions,
    ): Promise<ReadResult<HostList>> => {
      const result = await this.#read(this.#hostList, {
        ...read,
        host,
        process,
      });
      if (result.isOk() && result.value !== undefined) {
        this.onHostListRead(result.value.value);
      }
      return result;
    };
    return {
      bundleSource: new (class extends BundleSource {
        override read = bundles;
      })(),
      hostListSource: new (class extends HostListSource {
        override read = hostLists;
      })(),
    };
  }

  #read<Value>(
    value: PublishedValue<Value>,
    { afterRevision, waitMs, host, process }: ReadOptions & {
      host: string;
      process: ScenarioProcess;
    },
  ): Promise<ReadResult<Value>> {
    const end = this.#timer.now() + waitMs;
    return new Promise((resolve) => {
      const respond = (result: ReadResult<Value>): void => {
        this.#timer.after(
          LATENCY_MS,
          () => process.run(() => resolve(result)),
        );
      };
      const poll = (): void => {
        const newer = value.newerThan(afterRevision);
        if (this.#state === "down" || this.#disconnectedHosts.has(host)) {
          respond(err({ kind: "unreachable", detail: "Connection refused" }));
        } else if (newer !== undefined || this.#timer.now() >= end) {
          respond(ok(newer));
        } else this.#timer.after(POLL_MS, poll);
      };
      this.#timer.after(LATENCY_MS, poll);
    });
  }
}
