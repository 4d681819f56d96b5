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

/** The largest value that the platform holds. */
const MAXIMUM_VALUE_BYTES = 1_000_000;
const LONGEST_WAIT_MS = 60_000;
const RETRY_AFTER_SECONDS = "1";
const MODES: readonly unknown[] = ["up", "down", "stale"];

/** What can be read at the platform. */
export type PlatformValueName = "bundle" | "hosts";

/** Options of a {@link PlatformStandIn}. */
export interface PlatformStandInOptions extends HttpStandInOptions {
  timer?: Timer;
  /** Reads of all readers together; a waiting watch counts as one. */
  readsPerSecond?: number;
  hostListLagMs?: Milliseconds;
}

/** How reads ended; `GET /control/reads` tells it. */
export interface PlatformReadCounts {
  readonly answered: number;
  readonly nothingNewer: number;
  readonly overBudget: number;
  readonly down: number;
}

/** The platform's configuration service and host list, read and watch only. */
export class PlatformStandIn extends HttpStandIn {
  readonly #budget: ReadRateLimiter;
  readonly #values: Readonly<Record<PlatformValueName, PublishedValue>>;
  readonly #reads = { answered: 0, nothingNewer: 0, overBudget: 0, down: 0 };

  constructor(options: PlatformStandInOptions = {}) {
    super(options);
    const timer = options.timer ?? new SystemTimer();
    this.#budget = new ReadRateLimiter(timer, options.readsPerSecond ?? 2_000);
    const lagMs = options.hostListLagMs ?? 0;
    this.#values = {
      bundle: new PublishedValue({ timer, lagMs: 0 }),
      hosts: new PublishedValue({ timer, lagMs }),
    };
    this.#addReadRoutes();
    this.#addControlRoutes();
  }

  get reads(): PlatformReadCounts {
    return { ...this.#reads };
  }

  /** Publishes a bundle; returns its revision. */
  setBundle(bundle: SignedBundle): number {
    return this.#values.bundle.set(bundle);
  }

  /** Publishes a host list, seen by readers after the lag; returns its revision. */
  setHosts(hosts: HostList): number {
    return this.#values.hosts.set(hosts);
  }

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
      (context) => this.#read(context, this.#values.bundle),
    );
    this.app.get(
      "/v1/hosts",
      (context) => this.#read(context, this.#values.hosts),
    );
  }

  #addControlRoutes(): void {
    this.app.get("/control/reads", (context) => context.json(this.reads));
    this.app.put("/control/mode", (context) => this.#putMode(context));
    for (const name of ["bundle", "hosts"] as const) {
      this.app.put(
        `/control/${name}`,
        (context) => this.#putValue(context, name),
      );
    }
  }

  async #read(
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
    if (value.mode === "down") return this.#hangUp(context);
    if (!this.#budget.tryAcquire()) {
      this.#reads.overBudget++;
      context.header("retry-after", RETRY_AFTER_SECONDS);
      return createErrorResponse(context, {
        status: 429,
        message: "Over the budget",
      });
    }
    const read = await value.read({
      after,
      waitMs: Math.min(waitMs, LONGEST_WAIT_MS),
      signal: createCloseSignal(context),
    });
    if (read.kind === "down") return this.#hangUp(context);
    if (read.kind === "nothing-newer") {
      this.#reads.nothingNewer++;
      return context.body(null, 304);
    }
    this.#reads.answered++;
    return context.json(read.published);
  }

  #hangUp(context: StandInContext): Response {
    this.#reads.down++;
    return closeConnection(context);
  }

  async #putValue(
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

  async #putMode(context: StandInContext): Promise<Response> {
    const modes = Object.entries(await readJsonObject(context) ?? {});
    const areValid = modes.length > 0 &&
      modes.every(([name, mode]) =>
        name in this.#values && MODES.includes(mode)
      );
    if (!areValid) {
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
