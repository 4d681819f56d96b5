import {
  asId,
  Blackboard,
  type ClientAccountId,
  type Digest,
  type IdempotencyKey,
  type Incarnation,
  MemoryMetrics,
  type Milliseconds,
  type Nonce,
  SeededRandom,
  type UpstreamId,
  VirtualTimer,
} from "@wasabivane/common";
import {
  type Dispatch,
  HOST_LIST,
  KeyService,
  MemoryNetwork,
  ViewController,
} from "@wasabivane/coordination";
import { hostListOf } from "./slopeFleet.ts";
import { heapBytes } from "./resourceMeasurement.ts";
import type { SlopePoint } from "./slope.ts";

const HOSTS = 8;
const RATES = [10, 20, 40, 80];
const KEY_COUNTS = [1_000, 2_000, 4_000];
/** Time until the view leases are held. */
const WARM_UP_MS: Milliseconds = 8_000;
const MEASURED_MS: Milliseconds = 4_000;
const SETTLE_MS: Milliseconds = 1_000;
const TIMER_STEP_MS: Milliseconds = 5;
const SECOND = 1_000;
const SECRETS = ["slope-secret"];
const BODY_DIGEST = asId<Digest>("0".repeat(64));
const DISPATCH: Dispatch = {
  upstream: asId<UpstreamId>("upstream-1"),
  nonce: asId<Nonce>("0".repeat(32)),
};

/** Measures the key traffic by claims per second through one host. */
export async function measureKeyTraffic(): Promise<SlopePoint[]> {
  const idle = await measureSentBytes(0);
  const points: SlopePoint[] = [];
  for (const rate of RATES) {
    const bytes = await measureSentBytes(rate) - idle;
    points.push([rate, bytes / MEASURED_MS * SECOND]);
  }
  return points;
}

/** Measures the heap of claimant and home by the number of keys. */
export async function measureKeyMemory(): Promise<SlopePoint[]> {
  const points: SlopePoint[] = [];
  for (const count of KEY_COUNTS) {
    const fleet = new KeyFleet();
    await fleet.advance(WARM_UP_MS);
    const before = heapBytes();
    for (let number = 0; number < count; number++) fleet.claim();
    await fleet.advance(SETTLE_MS);
    points.push([count, heapBytes() - before]);
    fleet.checkGranted(count);
  }
  return points;
}

async function measureSentBytes(rate: number): Promise<number> {
  const fleet = new KeyFleet();
  await fleet.advance(WARM_UP_MS);
  const before = fleet.network.sentBytes;
  const claims = rate * MEASURED_MS / SECOND;
  for (let number = 0; number < claims; number++) {
    fleet.timer.after(number * SECOND / rate, () => fleet.claim());
  }
  await fleet.advance(MEASURED_MS + SETTLE_MS);
  fleet.checkGranted(claims);
  return fleet.network.sentBytes - before;
}

/** Hosts that hold leases and keys; the first one claims all keys. */
class KeyFleet {
  readonly timer = new VirtualTimer();
  readonly network: MemoryNetwork;
  readonly #random = new SeededRandom(1);
  readonly #keys: KeyService[];
  #granted = 0;

  constructor() {
    const { timer } = this;
    this.network = new MemoryNetwork({ timer, random: this.#random });
    const list = hostListOf(HOSTS);
    this.#keys = list.entryHosts.map(({ host }) => {
      const blackboard = new Blackboard();
      blackboard.write(HOST_LIST, list);
      const shared = {
        host,
        incarnation: asId<Incarnation>(`incarnation-of-${host}`),
        blackboard,
        link: this.network.join(host),
        timer,
        metrics: new MemoryMetrics(),
      };
      const views = new ViewController(shared);
      const keys = new KeyService({
        ...shared,
        views,
        random: this.#random,
        secrets: () => SECRETS,
      });
      views.start();
      keys.start();
      return keys;
    });
  }

  async advance(span: Milliseconds): Promise<void> {
    const end = this.timer.now() + span;
    while (this.timer.now() < end) {
      this.timer.advance(TIMER_STEP_MS);
      for (let turn = 0; turn < 6; turn++) await Promise.resolve();
    }
  }

  /** Claims a bare key and marks its request as dispatched and finished. */
  claim(): void {
    const [keys] = this.#keys;
    const key = this.#createBareKey();
    void keys!.claim({
      account: asId<ClientAccountId>("client-account-1"),
      key,
      request: asId(`request-${key}`),
      bodyDigest: BODY_DIGEST,
      isIdempotent: false,
    }).then((outcome) => {
      if (outcome.kind !== "granted") return;
      this.#granted++;
      keys!.markDispatched(outcome.owned, DISPATCH);
      keys!.markFinished(outcome.owned, DISPATCH);
    });
  }

  /** Throws if claims were not granted, which would distort the measurement. */
  checkGranted(claims: number): void {
    if (this.#granted === claims) return;
    throw new Error(`${this.#granted} of ${claims} claims were granted`);
  }

  /** Creates a UUIDv7 with the current time. */
  #createBareKey(): IdempotencyKey {
    const time = Math.floor(this.timer.wallNow()).toString(16).padStart(
      12,
      "0",
    );
    const randomHex = this.#random.hex(9);
    const parts = [
      time.slice(0, 8),
      time.slice(8),
      `7${randomHex.slice(0, 3)}`,
      `8${randomHex.slice(3, 6)}`,
      randomHex.slice(6, 18),
    ];
    return asId<IdempotencyKey>(parts.join("-"));
  }
}
