import type { Gateway } from "./gateway.ts";
import type { PolicyProof } from "./policyState.ts";
import { eraOf } from "./storeRevision.ts";

/** The policy in a full read of the store, and what was known before. */
export interface PolicyReading {
  /** `undefined` if the store has none. */
  readonly policy: Uint8Array | undefined;
  readonly proof: PolicyProof;
  /** Revision of the list that was known when the read was requested. */
  readonly knownBefore: number;
}

/**
 * Adopts and confirms the policies that one host reads from the store. In an era
 * that is new to the host, the store may have come back from a copy that lacks
 * the newest policy; it then confirms none until it shows one as new as those
 * that the host knows of.
 */
export class StorePolicy {
  readonly #gateway: Gateway;
  /** Era of the last full read; 0 before. */
  #era = 0;
  /** Version that the store has yet to show; 0 for none. */
  #missingVersion = 0;

  constructor(gateway: Gateway) {
    this.#gateway = gateway;
  }

  /** Whether the store lacks a policy that this host knows of. */
  get isMissing(): boolean {
    return this.#missingVersion > 0;
  }

  /** Applies a full read. */
  apply({ policy, proof, knownBefore }: PolicyReading): void {
    const { policies } = this.#gateway.context;
    const { revision } = proof;
    if (eraOf(revision) !== this.#era) {
      this.#era = eraOf(revision);
      this.#missingVersion = policies.newestVersion;
    }
    if (policy !== undefined) this.adopt(policy, revision);
    if (revision < knownBefore) policies.correctRevision(revision);
    this.confirm(proof);
  }

  /** Adopts a policy that was written at a revision. */
  adopt(bytes: Uint8Array, revision: number): void {
    const proof = { confirmedAt: -Infinity, revision };
    const adoption = this.#gateway.adoptPolicy(bytes, proof);
    if (adoption === undefined || adoption === "older") return;
    const { version } = this.#gateway.context.policies;
    if (version >= this.#missingVersion) this.#missingVersion = 0;
  }

  /** Confirms the policy in force, unless the store may lack a newer one. */
  confirm(proof: PolicyProof): void {
    if (!this.isMissing) return this.#gateway.confirmPolicy(proof);
    this.#gateway.context.policies.advanceRevision(proof.revision);
  }
}
