import type { HostList, SignedBundle } from "@wasabivane/bundle";
import { type Milliseconds, SystemTimer, type Timer } from "@wasabivane/common";
import {
  closeConnection,
  createCloseSignal,
  createErrorResponse,
  HttpStandIn,
  type HttpStandInOptions,
  readJsonObject,
  type StandInContext,
} from "./httpStandIn.ts";
import { type PublicationMode, PublishedValue } from "./publishedValue.ts";
import { ReadRateLimiter } from "./readRateLimiter.ts";

const MAXIMUM_VALUE_BYTES = 1_000_000;
const MAXIMUM_WAIT_MS = 60_000;
const RETRY_AFTER_SECONDS = "1";
const MODES: readonly unknown[] = ["up", "down", "stale"];

/** Name of a value that the platform publishes. */
export type PlatformValueName = "bundle" | "hosts";

/** Options of a {@link PlatformStandIn}. */
export interface PlatformStandInOptions extends HttpStandInOptions {
  timer?: Timer;
  /** Rate limit across all readers; a long poll counts as one read. */
  readsPerSecond?: number;
  hostListLagMs?: Milliseconds;
}

/** Read counts by result, as returned by `GET /control/reads`. */
export interface PlatformReadCounts {
  readonly answered: number;
  readonly nothingNewer: number;
  readonly overBudget: number;
  readonly down: number;
}

/** Platform that serves the bundle and the host list to readers. */
export class PlatformStandIn extends HttpStandIn {
  readonly #rateLimiter: ReadRateLimiter;
  readonly #values: Readonly<Record<PlatformValueName, PublishedValue>>;
  readonly #readCounts = {
    answered: 0,
    nothingNewer: 0,
    overBudget: 0,
    down: 0,
  };

  constructor(options: PlatformStandInOptions = {}) {
    super(options);
    const timer = options.timer ?? new SystemTimer();
    this.#rateLimiter = new ReadRateLimiter(
      timer,
      options.readsPerSecond ?? 2_000,
    );
    const lagMs = options.hostListLagMs ?? 0;
    this.#values = {
      bundle: new PublishedValue({ timer, lagMs: 0 }),
      hosts: new PublishedValue({ timer, lagMs }),
    };
    this.#addReadRoutes();
    this.#addControlRoutes();
  }

  /** The counts that `GET /control/reads` returns. */
  get reads(): PlatformReadCounts {
    return { ...this.#readCounts };
  }

  /** Publishes a bundle and returns its revision. */
  setBundle(bundle: SignedBundle): number {
    return this.#values.bundle.set(bundle);
  }

  /** Publishes a host list, visible after the lag, and returns its revision. */
  setHosts(hosts: HostList): number {
    return this.#values.hosts.set(hosts);
  }

  /** Sets whether a value can be read and whether it is current. */
  setMode(name: PlatformValueName, mode: PublicationMode): void {
    this.#values[name].setMode(mode);
  }

  override stop(): Promise<void> {
    this.#values.hosts.publishPending();
    return super.stop();
  }

  #addReadRoutes(): void {
    this.app.get(
      "/v1/values/bundle",
      (context) => this.#handleRead(context, this.#values.bundle),
    );
    this.app.get(
      "/v1/hosts",
      (context) => this.#handleRead(context, this.#values.hosts),
    );
  }

  #addControlRoutes(): void {
    this.app.get("/control/reads", (context) => context.json(this.reads));
    this.app.put("/control/mode", (context) => this.#handlePutMode(context));
    for (const name of ["bundle", "hosts"] as const) {
      this.app.put(
        `/control/${name}`,
        (context) => this.#handlePutValue(context, name),
      );
    }
  }

  async #handleRead(
    context: StandInContext,
    value: PublishedValue,
  ): Promise<Response> {
    const after = Number(context.req.query("after") ?? 0);
    const waitMs = Number(context.req.query("waitMs") ?? 0);
    if (!Number.isSafeInteger(after) || !(waitMs >= 0)) {
      return createErrorResponse(context, {
        status: 400,
        message: "Malformed query",
      });
    }
    if (value.mode === "down") return this.#failRead(context);
    if (!this.#rateLimiter.tryAcquire()) {
      this.#readCounts.overBudget++;
      context.header("retry-after", RETRY_AFTER_SECONDS);
      return createErrorResponse(context, {
        status: 429,
        message: "Rate limit exceeded",
      });
    }
    const read = await value.read({
      after,
      waitMs: Math.min(waitMs, MAXIMUM_WAIT_MS),
      signal: createCloseSignal(context),
    });
    if (read.kind === "down") return this.#failRead(context);
    if (read.kind === "nothing-newer") {
      this.#readCounts.nothingNewer++;
      return context.body(null, 304);
    }
    this.#readCounts.answered++;
    return context.json(read.published);
  }

  #failRead(context: StandInContext): Response {
    this.#readCounts.down++;
    return closeConnection(context);
  }

  async #handlePutValue(
    context: StandInContext,
    name: PlatformValueName,
  ): Promise<Response> {
    const length = Number(context.req.header("content-length") ?? 0);
    if (length > MAXIMUM_VALUE_BYTES) {
      return createErrorResponse(context, {
        status: 413,
        message: "Value too large",
      });
    }
    const value = await readJsonObject(context);
    if (value === undefined) {
      return createErrorResponse(context, {
        status: 400,
        message: "Malformed value",
      });
    }
    return context.json({ revision: this.#values[name].set(value) });
  }

  async #handlePutMode(context: StandInContext): Promise<Response> {
    const modes = Object.entries(await readJsonObject(context) ?? {});
    const isValid = modes.length > 0 &&
      modes.every(([name, mode]) =>
        name in this.#values && MODES.includes(mode)
      );
    if (!isValid) {
      return createErrorResponse(context, {
        status: 400,
        message: "Malformed modes",
      });
    }
    for (const [name, mode] of modes) {
      this.setMode(name as PlatformValueName, mode as PublicationMode);
    }
    return context.json({});
  }
}
