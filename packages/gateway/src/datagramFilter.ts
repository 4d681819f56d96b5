import type { Milliseconds } from "@wasabivane/common";

const PERIOD_MS: Milliseconds = 1_000;
/** Malformed datagrams of one source that are decoded in a period. */
const MAXIMUM_MALFORMED = 16;
/** Sources with malformed datagrams that are told apart in a period. */
const MAXIMUM_SOURCES = 256;

/**
 * Passes over the datagrams of sources that send many malformed ones, so that
 * those of peers are not late.
 */
export class DatagramFilter {
  /** Malformed datagrams since the period began, by source. */
  readonly #malformed = new Map<string, number>();
  #periodStart: Milliseconds = -Infinity;

  /** Whether a datagram of a source is worth decoding. */
  accepts(source: string, now: Milliseconds): boolean {
    if (now - this.#periodStart >= PERIOD_MS) {
      this.#periodStart = now;
      this.#malformed.clear();
    }
    return (this.#malformed.get(source) ?? 0) < MAXIMUM_MALFORMED;
  }

  /** Records that a datagram of a source could not be decoded. */
  recordMalformed(source: string): void {
    const isKnown = this.#malformed.has(source);
    if (!isKnown && this.#malformed.size >= MAXIMUM_SOURCES) {
      this.#malformed.delete(this.#malformed.keys().next().value!);
    }
    this.#malformed.set(source, (this.#malformed.get(source) ?? 0) + 1);
  }
}
