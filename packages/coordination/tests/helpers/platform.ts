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

type ReadResult<Value> = Result<Revisioned<Value> | undefined, PlatformError>;

/** Holds a published value and the long polls that wait for it. */
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
  ): Promise<ReadResult<Value>> {
    return new Promise((resolve) => {
      const respond = (): void => {
        this.#watches.delete(respond);
        timeout.cancel();
        timer.after(1, () => resolve(ok(this.#newer(options.afterRevision))));
      };
      const timeout = timer.after(options.waitMs, respond);
      this.#watches.add(respond);
      if (this.#newer(options.afterRevision) !== undefined) respond();
    });
  }

  #newer(revision: number): Revisioned<Value> | undefined {
    const current = this.#current;
    return current && current.revision > revision ? current : undefined;
  }
}

/** Simulates a platform that can be unavailable for all or some hosts. */
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
  ): Promise<ReadResult<Value>> {
    this.reads++;
    if (!this.canRead(host)) {
      return err({ kind: "unreachable", detail: "Connection refused" });
    }
    const result = await value.read(this.#timer, options);
    if (this.canRead(host)) return result;
    return err({ kind: "unreachable", detail: "Connection reset" });
  }
}

/** Reads the bundle for one host. */
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
  ): Promise<ReadResult<SignedBundle>> {
    return this.#platform.read(this.#host, this.#platform.bundle, options);
  }
}

/** Reads the host list for one host. */
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
  ): Promise<ReadResult<HostList>> {
    return this.#platform.read(this.#host, this.#platform.hostList, options);
  }
}
