import { Buffer } from "node:buffer";
import { randomBytes } from "node:crypto";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";

const TWO_TO_32 = 2 ** 32;

/** The only source of chance in decisions, so that a seed replays them. */
export abstract class Random {
  /** A number in [0, 1). */
  abstract float(): number;

  /** A whole number in [0, bound). */
  int(bound: number): number {
    return Math.floor(this.float() * bound);
  }

  /** One of the items; the list must not be empty. */
  pick<Item>(items: readonly Item[]): Item {
    return items[this.int(items.length)]!;
  }

  /** An exponentially distributed number with the given mean. */
  exponential(mean: number): number {
    return -mean * Math.log(1 - this.float());
  }

  /** A standard normal number. */
  normal(): number {
    const radius = Math.sqrt(-2 * Math.log(1 - this.float()));
    return radius * Math.cos(2 * Math.PI * this.float());
  }

  /** `bytes` random bytes as hex. */
  hex(bytes: number): string {
    let text = "";
    for (let index = 0; index < bytes; index++) {
      text += this.int(256).toString(16).padStart(2, "0");
    }
    return text;
  }
}

/** A repeatable sequence. */
export class SeededRandom extends Random {
  readonly #generator: ReturnType<typeof xoroshiro128plus>;

  constructor(seed: number) {
    super();
    this.#generator = xoroshiro128plus(seed);
  }

  override float(): number {
    return (this.#generator.next() >>> 0) / TWO_TO_32;
  }
}

/** Random bytes fetched at once; a call to the system for each nonce costs more than the nonce. */
const POOL_BYTES = 4_096;

/** Unpredictable numbers, for nonces, incarnations and jitter in the daemons. */
export class SystemRandom extends Random {
  #pool = Buffer.alloc(0);
  #offset = 0;

  override float(): number {
    return this.#take(4).readUInt32LE() / TWO_TO_32;
  }

  override hex(bytes: number): string {
    return this.#take(bytes).toString("hex");
  }

  /** Each byte of the pool is given out once. */
  #take(bytes: number): Buffer {
    if (this.#offset + bytes > this.#pool.length) {
      this.#pool = randomBytes(Math.max(bytes, POOL_BYTES));
      this.#offset = 0;
    }
    this.#offset += bytes;
    return this.#pool.subarray(this.#offset - bytes, this.#offset);
  }
}
