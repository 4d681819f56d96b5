import type { UpstreamId } from "@wasabivane/common";

/** Parts remembered: some minutes of one host's requests, about half a megabyte. */
const MAXIMUM_PARTS = 4_096;

/**
 * Where this host last sent a prompt that ends in a part. A part that comes again
 * belongs to a session, whose engine holds everything said so far; most come once.
 */
export class PromptPlaces {
  readonly #places = new Map<string, UpstreamId>();

  note(part: string, upstream: UpstreamId): void {
    this.#places.delete(part);
    this.#places.set(part, upstream);
    if (this.#places.size <= MAXIMUM_PARTS) return;
    const [oldest] = this.#places.keys();
    this.#places.delete(oldest!);
  }

  placeOf(part: string): UpstreamId | undefined {
    return this.#places.get(part);
  }
}
