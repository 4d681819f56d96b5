import { Buffer } from "node:buffer";
import type { Milliseconds } from "@wasabivane/common";
import {
  PolicyFreshness,
  type PolicyFreshnessOptions,
  PolicyIndex,
} from "@wasabivane/admission";
import { ok, type Result } from "neverthrow";
import type { Dialect, PolicyError } from "./dialect.ts";

/** When a policy was known to be the newest in the store. */
export interface PolicyProof {
  /** Time on the elapsed clock; -Infinity if unknown. */
  readonly confirmedAt: Milliseconds;
  /** Store revision. */
  readonly revision: number;
}

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
  readonly #applyBound: Milliseconds;
  readonly #listeners: PolicyListener[] = [];
  #index: PolicyIndex | undefined;
  #bytes: Uint8Array = new Uint8Array();
  #revision = 0;
  #longestTimeout: Milliseconds = 0;
  #announcedVersion = 0;

  constructor(
    { dialect, bounds }: { dialect: Dialect; bounds: PolicyFreshnessOptions },
  ) {
    this.#dialect = dialect;
    this.#applyBound = bounds.applyBound;
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

  /**
   * Longest time for a complete response on any route of this policy and those
   * before it; 0 before the first.
   */
  get longestTimeout(): Milliseconds {
    return this.#longestTimeout;
  }

  /** Store revision up to which no newer policy was written. */
  get revision(): number {
    return this.#revision;
  }

  /** The newest version that this host has or has heard of. */
  get newestVersion(): number {
    return Math.max(this.version, this.#announcedVersion);
  }

  addListener(listener: PolicyListener): void {
    this.#listeners.push(listener);
  }

  /** Confirms the current policy; older proofs have no effect. */
  confirm({ confirmedAt, revision }: PolicyProof): void {
    this.freshness.confirm(confirmedAt);
    this.advanceRevision(revision);
  }

  /** Sets the store revision where a higher one has turned out to be wrong. */
  correctRevision(revision: number): void {
    this.#revision = Math.min(this.#revision, revision);
  }

  /** Raises the store revision up to which no newer policy was written. */
  advanceRevision(revision: number): void {
    this.#revision = Math.max(this.#revision, revision);
  }

  /**
   * Records that a peer has a version; returns whether it is the newest one that
   * this host has heard of.
   */
  recordAnnouncement(version: number): boolean {
    const isNewest = version > this.newestVersion;
    if (isNewest) this.#announcedVersion = version;
    return isNewest;
  }

  /**
   * Whether unknown routes and keys may be denied: a newer version that a peer
   * has may contain them.
   */
  isDenialAllowed(now: Milliseconds): boolean {
    return !this.#isOutdated && this.freshness.isDenialAllowed(now);
  }

  /**
   * Whether requests may be served. An outdated policy is in force until the time
   * within which a newer one must take its place.
   */
  isInForce(now: Milliseconds): boolean {
    return !this.#isOutdated || this.freshness.age(now) <= this.#applyBound;
  }

  /** Adopts a policy with its proof, unless it is older. */
  adopt(
    bytes: Uint8Array,
    proof: PolicyProof,
  ): Result<Adoption, PolicyError> {
    if (Buffer.compare(bytes, this.#bytes) === 0) {
      this.confirm(proof);
      return ok("same" as const);
    }
    return this.#dialect.decodePolicy(bytes).andThen((policy) => {
      if (policy.version < this.version) return ok("older" as const);
      this.confirm(proof);
      if (policy.version === this.version) return ok("same" as const);
      this.#index = new PolicyIndex(policy);
      this.#bytes = bytes;
      this.#longestTimeout = policy.routes.reduce(
        (longest, { timeout }) => Math.max(longest, timeout),
        this.#longestTimeout,
      );
      for (const listener of this.#listeners) listener(this.#index);
      return ok("adopted" as const);
    });
  }

  /** Whether a peer has a newer version. */
  get #isOutdated(): boolean {
    return this.#announcedVersion > this.version;
  }
}
