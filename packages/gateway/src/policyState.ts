import type { Milliseconds } from "@wasabivane/common";
import {
  PolicyFreshness,
  type PolicyFreshnessOptions,
  PolicyIndex,
} from "@wasabivane/admission";
import { ok, type Result } from "neverthrow";
import type { Dialect, PolicyError } from "./dialect.ts";

/** What became of the bytes of a policy. */
export type Adoption = "adopted" | "same" | "older";

/** Called when a newer policy came into force. */
export type PolicyListener = (index: PolicyIndex) => void;

/**
 * The policy in force on this host, its bytes for peers, and how long ago it was
 * known to be the newest. Versions only grow while the process lives.
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

  /** The policy in force; `undefined` until the first one was read. */
  get index(): PolicyIndex | undefined {
    return this.#index;
  }

  /** The bytes that the policy in force was read from. */
  get bytes(): Uint8Array {
    return this.#bytes;
  }

  /** 0 until the first policy was read. */
  get version(): number {
    return this.#index?.policy.version ?? 0;
  }

  watch(listener: PolicyListener): void {
    this.#listeners.push(listener);
  }

  /** Takes in a policy that was the newest at `provenAt`. */
  adopt(
    bytes: Uint8Array,
    provenAt: Milliseconds,
  ): Result<Adoption, PolicyError> {
    return this.#dialect.decodePolicy(bytes).andThen((policy) => {
      if (policy.version < this.version) return ok("older" as const);
      this.freshness.confirm(provenAt);
      if (policy.version === this.version) return ok("same" as const);
      this.#index = new PolicyIndex(policy);
      this.#bytes = bytes;
      for (const listener of this.#listeners) listener(this.#index);
      return ok("adopted" as const);
    });
  }
}
