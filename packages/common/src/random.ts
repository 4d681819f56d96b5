import { Buffer } from "node:buffer";
import { randomBytes } from "node:crypto";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";

const TWO_TO_32 = 2 ** 32;

/** Generates random values; a seeded implementation is repeatable. */
export abstract class Random {
  /** Returns a uniform number in [0, 1). */
  abstract float(): number;

  /** Returns a uniform integer in [0, bound). */
  int(bound: number): number {
    return Math.floor(this.float() * bound);
  }

  /** Returns one of the items, which must not be empty. */
  pick<Item>(items: readonly Item[]): Item {
    return items[this.int(items.length)]!;
  }

  /** Returns an exponentially distributed number with the given mean. */
  exponential(mean: number): number {
    return -mean * Math.log(1 - this.float());
  }

  /** Returns a number of the standard normal distribution. */
  normal(): number {
    const radius = Math.sqrt(-2 * Math.log(1 - this.float()));
    return radius * Math.cos(2 * Math.PI * this.float());
  }

  /** Returns the given number of random bytes as hex. */
  hex(bytes: number): string {
    let text = "";
    for (let index = 0; index < bytes; index++) {
      text += this.int(256).toString(16).padStart(2, "0");
    }
    return text;
  }
}

/** Generates the same sequence for the same seed. */
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

/** Buffers random bytes to avoid a system call per value. */
const POOL_BYTES = 4_096;

/** Generates unpredictable values for nonces, incarnations and jitter. */
export class SystemRandom extends Random {
  #pool = Buffer.alloc(0);
  #offset = 0;

  override float(): number {
    return this.#take(4).readUInt32LE() / TWO_TO_32;
  }

  override hex(bytes: number): string {
    return this.#take(bytes).toString("hex");
  }

  /** Returns bytes of the pool, each at most once. */
  #take(bytes: number): Buffer {
    if (this.#offset + bytes > this.#pool.length) {
      this.#pool = randomBytes(Math.max(bytes, POOL_BYTES));
      this.#offset = 0;
    }
    this.#offset += bytes;
    return this.#pool.subarray(this.#offset - bytes, this.#offset);
  }
}
