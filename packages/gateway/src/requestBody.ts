import { Buffer } from "node:buffer";
import type { IncomingMessage } from "node:http";
import {
  ByteCollector,
  type Milliseconds,
  type Timer,
  type TimerSubscription,
} from "@wasabivane/common";
import { err, ok, type Result } from "neverthrow";
import {
  type BodyLease,
  type BodyLeases,
  SMALL_BODY_BYTES,
} from "./bodyLeases.ts";
import type { ParsingBudget } from "./parsingBudget.ts";
import { ReadHold } from "./readHold.ts";

/** The reason why a body could not be read. */
export type BodyError =
  | "body-too-large"
  | "body-too-slow"
  | "body-fragmented"
  | "memory"
  /** It waited too long to be read on by this host. */
  | "host-behind"
  | "stopping"
  | "caller-left";

/** A complete body. */
export interface RequestBody {
  readonly bytes: Buffer;
  /** Memory of the bytes, to be released when they are no longer needed. */
  readonly lease: BodyLease | undefined;
}

/** Options of {@link readBody}. */
export interface ReadBodyOptions {
  readonly maximumBytes: number;
  /** Time between two chunks. */
  readonly idleTimeout: Milliseconds;
  readonly timer: Timer;
  readonly leases: BodyLeases;
  readonly parsing: ParsingBudget;
  /** Calls back when the request could no longer be served. */
  readonly watchTime: (onOver: () => void) => TimerSubscription;
}

const NO_BODY = Buffer.alloc(0);
/** Chunks of any size that a body may have, and those for its bytes. */
const CHUNKS_ALLOWED = 32 * 1_024;
const BYTES_PER_CHUNK = 4;
/** Shorter chunks count as tiny. */
const TINY_CHUNK_BYTES = 512;
/** A body may have so many tiny chunks however much is spent on others. */
const TINY_CHUNKS_ALLOWED = 1_024;
/** Estimated processor time for a chunk. */
const CHUNK_COST_MS: Milliseconds = 0.006;

/**
 * Reads a complete body, limited in size, in the number of its chunks and in the
 * time between two of them. Its memory is leased before it is read.
 */
export function readBody(
  request: IncomingMessage,
  options: ReadBodyOptions,
): Promise<Result<RequestBody, BodyError>> {
  const length = bodyLength(request);
  if (length === 0) {
    return Promise.resolve(ok({ bytes: NO_BODY, lease: undefined }));
  }
  if (length !== undefined && length > options.maximumBytes) {
    return Promise.resolve(err("body-too-large"));
  }
  return new Promise((resolve) => {
    new BodyReader(request, { ...options, length, resolve }).start();
  });
}

/**
 * Returns the length of a request's body by its head; `undefined` if the head does
 * not tell it.
 */
export function bodyLength({ headers }: IncomingMessage): number | undefined {
  if (headers["transfer-encoding"] !== undefined) return undefined;
  return Number(headers["content-length"] ?? 0);
}

interface BodyReaderOptions extends ReadBodyOptions {
  readonly length: number | undefined;
  readonly resolve: (result: Result<RequestBody, BodyError>) => void;
}

class BodyReader {
  readonly #request: IncomingMessage;
  readonly #options: BodyReaderOptions;
  #bytes: KnownBytes | ByteCollector;
  #lease: BodyLease | undefined;
  #chunks = 0;
  #tinyChunks = 0;
  #idleTimer: TimerSubscription | undefined;
  #timeWatch: TimerSubscription | undefined;
  #receivedAt: Milliseconds;
  #hold: ReadHold | undefined;
  #cancelWait: (() => void) | undefined;
  #hasEnded = false;

  constructor(request: IncomingMessage, options: BodyReaderOptions) {
    this.#request = request;
    this.#options = options;
    this.#receivedAt = options.timer.now();
    this.#bytes = options.length === undefined
      ? new ByteCollector()
      : new KnownBytes(options.length);
  }

  start(): void {
    const { leases, length, maximumBytes, watchTime } = this.#options;
    const bytes = length ?? Math.min(SMALL_BODY_BYTES, maximumBytes);
    this.#lease = leases.open(bytes, () => this.#fail("body-too-slow"));
    if (this.#lease === undefined) return this.#fail("memory");
    this.#startIdleTimer(this.#options.idleTimeout);
    this.#timeWatch = watchTime(() => this.#fail("stopping"));
    this.#request.on("data", this.#receive);
    this.#request.once("end", this.#finish);
    this.#request.once("close", this.#leave);
  }

  readonly #receive = (chunk: Buffer): void => {
    const length = this.#bytes.length + chunk.length;
    if (length > this.#options.maximumBytes) {
      return this.#fail("body-too-large");
    }
    this.#chunks++;
    if (this.#chunks > CHUNKS_ALLOWED + length / BYTES_PER_CHUNK) {
      return this.#fail("body-fragmented");
    }
    if (!this.#makeRoom(length)) return this.#fail("memory");
    this.#bytes.add(chunk);
    this.#lease!.recordBytes(chunk.length);
    if (chunk.length < TINY_CHUNK_BYTES) this.#chargeTinyChunk();
    this.#receivedAt = this.#options.timer.now();
  };

  /** Doubles the lease of a body of unknown length where it ends. */
  #makeRoom(length: number): boolean {
    const lease = this.#lease!;
    if (length <= lease.bytes) return true;
    const doubled = Math.max(length, 2 * lease.bytes);
    return lease.resize(Math.min(doubled, this.#options.maximumBytes));
  }

  #chargeTinyChunk(): void {
    const { parsing } = this.#options;
    parsing.spend(CHUNK_COST_MS);
    this.#tinyChunks++;
    if (this.#tinyChunks <= TINY_CHUNKS_ALLOWED) return;
    if (this.#hold?.isHeld === true || !parsing.isOverdrawn) return;
    this.#hold ??= new ReadHold(this.#request.socket);
    this.#hold.hold();
    this.#cancelWait = parsing.wait(() => this.#hold?.release());
  }

  #startIdleTimer(delay: Milliseconds): void {
    const { timer, idleTimeout } = this.#options;
    this.#idleTimer = timer.after(delay, () => {
      const left = this.#receivedAt + idleTimeout - timer.now();
      if (left > 0) return this.#startIdleTimer(left);
      const isHeld = this.#hold?.isHeld === true;
      this.#fail(isHeld ? "host-behind" : "body-too-slow");
    });
  }

  readonly #finish = (): void => {
    const bytes = this.#bytes.take();
    const lease = this.#lease!;
    lease.endReception();
    lease.resize(bytes.length);
    this.#end(ok({ bytes, lease }));
  };

  readonly #leave = (): void => this.#fail("caller-left");

  #fail(error: BodyError): void {
    if (this.#hasEnded) return;
    this.#lease?.release();
    this.#bytes = new ByteCollector();
    this.#end(err(error));
  }

  #end(result: Result<RequestBody, BodyError>): void {
    this.#hasEnded = true;
    this.#idleTimer?.cancel();
    this.#timeWatch?.cancel();
    this.#cancelWait?.();
    this.#hold?.release();
    this.#request.off("data", this.#receive);
    this.#request.off("end", this.#finish);
    this.#request.off("close", this.#leave);
    this.#options.resolve(result);
  }
}

/** Collects a body of known length without another copy at its end. */
class KnownBytes {
  readonly #capacity: number;
  #bytes: Buffer = NO_BODY;
  #length = 0;

  constructor(capacity: number) {
    this.#capacity = capacity;
  }

  get length(): number {
    return this.#length;
  }

  add(chunk: Buffer): void {
    if (chunk.length === this.#capacity) {
      this.#bytes = chunk;
    } else {
      if (this.#length === 0) {
        this.#bytes = Buffer.allocUnsafeSlow(this.#capacity);
      }
      this.#bytes.set(chunk, this.#length);
    }
    this.#length += chunk.length;
  }

  take(): Buffer {
    return this.#bytes;
  }
}
