import {
  BundleSource,
  type HostList,
  HostListSource,
  type PlatformError,
  type Revisioned,
  type SignedBundle,
} from "@wasabivane/bundle";
import type { HostId, Milliseconds, Timer } from "@wasabivane/common";
import { err, ok, type Result } from "neverthrow";

type Answer<Value> = Result<Revisioned<Value> | undefined, PlatformError>;

/** One value of the platform with its waiting watches. */
class PublishedValue<Value> {
  #current: Revisioned<Value> | undefined;
  readonly #watches = new Set<() => void>();

  publish(value: Value): void {
    this.#current = { revision: (this.#current?.revision ?? 0) + 1, value };
    for (const wake of [...this.#watches]) wake();
  }

  read(
    timer: Timer,
    options: { afterRevision: number; waitMs: Milliseconds },
  ): Promise<Answer<Value>> {
    return new Promise((resolve) => {
      const answer = (): void => {
        this.#watches.delete(answer);
        timeout.cancel();
        timer.after(1, () => resolve(ok(this.#newer(options.afterRevision))));
      };
      const timeout = timer.after(options.waitMs, answer);
      this.#watches.add(answer);
      if (this.#newer(options.afterRevision) !== undefined) answer();
    });
  }

  #newer(revision: number): Revisioned<Value> | undefined {
    const current = this.#current;
    return current && current.revision > revision ? current : undefined;
  }
}

/** A platform whose service can be down for all or for some hosts. */
export class FakePlatform {
  readonly bundle = new PublishedValue<SignedBundle>();
  readonly hostList = new PublishedValue<HostList>();
  reads = 0;
  canRead: (host: HostId) => boolean = () => true;
  readonly #timer: Timer;

  constructor(timer: Timer) {
    this.#timer = timer;
  }

  async read<Value>(
    host: HostId,
    value: PublishedValue<Value>,
    options: { afterRevision: number; waitMs: Milliseconds },
  ): Promise<Answer<Value>> {
    this.reads++;
    if (!this.canRead(host)) {
      return err({ kind: "unreachable", detail: "Connection refused" });
    }
    const answer = await value.read(this.#timer, options);
    if (this.canRead(host)) return answer;
    return err({ kind: "unreachable", detail: "Connection reset" });
  }
}

/** The bundle as one host reads it. */
export class FakeBundleSource extends BundleSource {
  readonly #platform: FakePlatform;
  readonly #host: HostId;

  constructor(platform: FakePlatform, host: HostId) {
    super();
    this.#platform = platform;
    this.#host = host;
  }

  override read(
    options: { afterRevision: number; waitMs: Milliseconds },
  ): Promise<Answer<SignedBundle>> {
    return this.#platform.read(this.#host, this.#platform.bundle, options);
  }
}

/** The host list as one host reads it. */
export class FakeHostListSource extends HostListSource {
  readonly #platform: FakePlatform;
  readonly #host: HostId;

  constructor(platform: FakePlatform, host: HostId) {
    super();
    this.#platform = platform;
    this.#host = host;
  }

  override read(
    options: { afterRevision: number; waitMs: Milliseconds },
  ): Promise<Answer<HostList>> {
    return this.#platform.read(this.#host, this.#platform.hostList, options);
  }
}
