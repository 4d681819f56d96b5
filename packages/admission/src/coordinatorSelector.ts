import type { HostId, Milliseconds } from "@wasabivane/common";
import { type Cell, type CellKey, cellKeyOf } from "./cells.ts";
import {
  type CoordinatorCandidate,
  rankCoordinators,
} from "./rankCoordinators.ts";

/** A keeper that was silent or stops is passed over for so long. */
const PASSED_OVER_MS: Milliseconds = 3_000;

/** What a {@link CoordinatorSelector} is built from. */
export interface CoordinatorSelectorOptions {
  readonly host: HostId;
  /** The hosts that live, this one included; the same list until something changes. */
  readonly candidates: () => readonly CoordinatorCandidate[];
}

/** The keepers of a cell in order, among the candidates that it was worked out from. */
interface KnownOrder {
  readonly candidates: readonly CoordinatorCandidate[];
  readonly order: readonly HostId[];
}

/** Who keeps which cell, as one host sees it: the first in order that is not passed over. */
export class CoordinatorSelector {
  readonly #options: CoordinatorSelectorOptions;
  readonly #passedOver = new Map<HostId, Milliseconds>();
  readonly #orders = new Map<CellKey, KnownOrder>();

  constructor(options: CoordinatorSelectorOptions) {
    this.#options = options;
  }

  /** The keeper of a cell; this host when there is none. */
  coordinatorOf(cell: Cell, now: Milliseconds): HostId {
    const skippedHosts = this.skipped(now);
    const first = this.#orderOf(cell).find((host) => !skippedHosts.has(host));
    return first ?? this.#options.host;
  }

  /** Passes a keeper over that was silent or stops. */
  skip(keeper: HostId, now: Milliseconds): void {
    this.skipUntil(keeper, now + PASSED_OVER_MS);
  }

  /** A peer says that a keeper was silent. */
  skipUntil(keeper: HostId, until: Milliseconds): void {
    if (keeper !== this.#options.host) this.#passedOver.set(keeper, until);
  }

  /** A keeper has answered. */
  clearSkip(keeper: HostId): void {
    this.#passedOver.delete(keeper);
  }

  /** Keepers that this host passes over, and until when. */
  skipped(now: Milliseconds): ReadonlyMap<HostId, Milliseconds> {
    for (const [host, until] of this.#passedOver) {
      if (until <= now) this.#passedOver.delete(host);
    }
    return this.#passedOver;
  }

  #orderOf(cell: Cell): readonly HostId[] {
    const key = cellKeyOf(cell);
    const candidates = this.#options.candidates();
    const known = this.#orders.get(key);
    if (known?.candidates === candidates) return known.order;
    const order = rankCoordinators(cell, candidates);
    this.#orders.set(key, { candidates, order });
    return order;
  }
}
