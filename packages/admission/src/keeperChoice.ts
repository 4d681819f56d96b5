import type { HostId, Milliseconds } from "@wasabivane/common";
import { type Cell, type CellKey, cellKeyOf } from "./cells.ts";
import { type KeeperCandidate, keeperOrder } from "./keeperOrder.ts";

/** A keeper that was silent or stops is passed over for so long. */
const PASSED_OVER_MS: Milliseconds = 3_000;

/** What a {@link KeeperChoice} is built from. */
export interface KeeperChoiceOptions {
  readonly host: HostId;
  /** The hosts that live, this one included; the same list until something changes. */
  readonly candidates: () => readonly KeeperCandidate[];
}

/** The keepers of a cell in order, among the candidates that it was worked out from. */
interface KnownOrder {
  readonly candidates: readonly KeeperCandidate[];
  readonly order: readonly HostId[];
}

/** Who keeps which cell, as one host sees it: the first in order that is not passed over. */
export class KeeperChoice {
  readonly #options: KeeperChoiceOptions;
  readonly #passedOver = new Map<HostId, Milliseconds>();
  readonly #orders = new Map<CellKey, KnownOrder>();

  constructor(options: KeeperChoiceOptions) {
    this.#options = options;
  }

  /** The keeper of a cell; this host when there is none. */
  keeperOf(cell: Cell, now: Milliseconds): HostId {
    const passedOver = this.passedOver(now);
    const first = this.#orderOf(cell).find((host) => !passedOver.has(host));
    return first ?? this.#options.host;
  }

  /** Passes a keeper over that was silent or stops. */
  passOver(keeper: HostId, now: Milliseconds): void {
    this.hearSilent(keeper, now + PASSED_OVER_MS);
  }

  /** A peer says that a keeper was silent. */
  hearSilent(keeper: HostId, until: Milliseconds): void {
    if (keeper !== this.#options.host) this.#passedOver.set(keeper, until);
  }

  /** A keeper has answered. */
  noteAnswer(keeper: HostId): void {
    this.#passedOver.delete(keeper);
  }

  /** Keepers that this host passes over, and until when. */
  passedOver(now: Milliseconds): ReadonlyMap<HostId, Milliseconds> {
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
    const order = keeperOrder(cell, candidates);
    this.#orders.set(key, { candidates, order });
    return order;
  }
}
