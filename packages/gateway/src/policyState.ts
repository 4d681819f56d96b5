import type { Milliseconds } from "@wasabivane/common";
import {
  PolicyFreshness,
  type PolicyFreshnessOptions,
  PolicyIndex,
} from "@wasabivane/admission";
import { ok, type Result } from "neverthrow";
import type { Dialect, PolicyError } from "./dialect.ts";

/** The result of adopting a policy. */
export type Adoption = "adopted" | "same" | "older";

/** Called when a newer policy takes effect. */
export type PolicyListener = (index: PolicyIndex) => void;

/**
 * Holds the current policy of this host, its encoded bytes, and when it was
 * last confirmed current. Its version never decreases.
 */
export class PolicyState {
  readonly freshness: PolicyFreshness;
  readonly #dialect: Dialect;
  readonly #listeners: PolicyListener[] = [];
  #index: PolicyIndex | undefined;
  #bytes: Uint8Array = new Uint8Array();

  constructor(
    { dialect, bounds }: { dialect: Dialect; bounds: PolicyFreshnessOptions },
  ) {
    this.#dialect = dialect;
    this.freshness = new PolicyFreshness(bounds);
  }

  /** The current policy; `undefined` until one is adopted. */
  get index(): PolicyIndex | undefined {
    return this.#index;
  }

  /** The encoded form of the current policy. */
  get bytes(): Uint8Array {
    return this.#bytes;
  }

  /** 0 until a policy is adopted. */
  get version(): number {
    return this.#index?.policy.version ?? 0;
  }

  addListener(listener: PolicyListener): void {
    this.#listeners.push(listener);
  }

  /** Adopts a policy that was current at `confirmedAt`, unless it is older. */
  adopt(
    bytes: Uint8Array,
    confirmedAt: Milliseconds,
  ): Result<Adoption, PolicyError> {
    return this.#dialect.decodePolicy(bytes).andThen((policy) => {
      if (policy.version < this.version) return ok("older" as const);
      this.freshness.confirm(confirmedAt);
      if (policy.version === this.version) return ok("same" as const);
      this.#index = new PolicyIndex(policy);
      this.#bytes = bytes;
      for (const listener of this.#listeners) listener(this.#index);
      return ok("adopted" as const);
    });
  }
}
