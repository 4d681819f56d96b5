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

type Answer<Value> = Result<Revisioned<Value> | undefined, PlatformError>;
type Read = { afterRevision: number; waitMs: Milliseconds };

const ONE_WAY_MS = 2;
const POLL_MS = 50;

/** A published value and the one that a stale service still shows. */
class PublishedValue<Value> {
  #current: Revisioned<Value> | undefined;
  #shown: Revisioned<Value> | undefined;

  publish(value: Value, { isStale }: { isStale: boolean }): void {
    const revision = (this.#current?.revision ?? 0) + 1;
    this.#current = { revision, value };
    if (!isStale) this.#shown = this.#current;
  }

  catchUp(): void {
    this.#shown = this.#current;
  }

  newer(revision: number): Revisioned<Value> | undefined {
    const shown = this.#shown;
    return shown !== undefined && shown.revision > revision ? shown : undefined;
  }
}

/** The platform of a scenario: up, down or stale, for all hosts or for some. */
export class FakePlatform {
  readonly #timer: Timer;
  readonly #bundle = new PublishedValue<SignedBundle>();
  readonly #hostList = new PublishedValue<HostList>();
  readonly #unreadable = new Set<string>();
  /** Called when a host has read a host list. */
  onHostListRead: (hostList: HostList) => void = () => {};
  #state: PlatformState = "up";

  constructor(timer: Timer) {
    this.#timer = timer;
  }

  setState(state: PlatformState, hosts?: readonly string[]): void {
    if (hosts !== undefined) {
      for (const host of hosts) {
        if (state === "down") this.#unreadable.add(host);
        else this.#unreadable.delete(host);
      }
      return;
    }
    this.#state = state;
    this.#unreadable.clear();
    if (state === "stale") return;
    this.#bundle.catchUp();
    this.#hostList.catchUp();
  }

  publishBundle(signed: SignedBundle): void {
    this.#bundle.publish(signed, { isStale: this.#state === "stale" });
  }

  publishHosts(hostList: HostList): void {
    this.#hostList.publish(hostList, { isStale: this.#state === "stale" });
  }

  /** The sources of one host. */
  sourcesOf(
    host: string,
    process: ScenarioProcess,
  ): { bundleSource: BundleSource; hostListSource: HostListSource } {
    const bundles = (read: Read): Promise<Answer<SignedBundle>> =>
      this.#read(this.#bundle, { ...read, host, process });
    const hostLists = async (read: Read): Promise<Answer<HostList>> => {
      const answer = await this.#read(this.#hostList, {
        ...read,
        host,
        process,
      });
      if (answer.isOk() && answer.value !== undefined) {
        this.onHostListRead(answer.value.value);
      }
      return answer;
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
    { afterRevision, waitMs, host, process }: Read & {
      host: string;
      process: ScenarioProcess;
    },
  ): Promise<Answer<Value>> {
    const end = this.#timer.now() + waitMs;
    return new Promise((resolve) => {
      const answer = (result: Answer<Value>): void => {
        this.#timer.after(
          ONE_WAY_MS,
          () => process.run(() => resolve(result)),
        );
      };
      const look = (): void => {
        const newer = value.newer(afterRevision);
        if (this.#state === "down" || this.#unreadable.has(host)) {
          answer(err({ kind: "unreachable", detail: "Connection refused" }));
        } else if (newer !== undefined || this.#timer.now() >= end) {
          answer(ok(newer));
        } else this.#timer.after(POLL_MS, look);
      };
      this.#timer.after(ONE_WAY_MS, look);
    });
  }
}
