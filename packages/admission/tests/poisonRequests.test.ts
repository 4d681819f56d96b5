import { asId, type Digest, type UpstreamId } from "@wasabivane/common";
import { PoisonRequestDetector } from "@wasabivane/admission";
import test from "ava";

const POISON = asId<Digest>("poison");
const SOUND = asId<Digest>("sound");
const MINUTE_MS = 60_000;
const HOUR_MS = 3_600_000;

/** Records crashes at upstreams with these numbers, a second apart. */
function recordCrashes(
  detector: PoisonRequestDetector,
  fingerprint: Digest,
  upstreams: readonly number[],
): void {
  for (const index of upstreams) {
    const at = 1_000 * index;
    const upstream = asId<UpstreamId>(`u${index}`);
    detector.recordCrash({ fingerprint, upstream, at }, at);
  }
}

test("each further crash doubles the quarantine of a request", (t) => {
  // Guards against three more upstreams that end after each quarantine.
  const detector = new PoisonRequestDetector();
  recordCrashes(detector, POISON, [0, 1]);
  t.is(detector.quarantineLeft(POISON, 1_000), 0);
  recordCrashes(detector, POISON, [2]);
  t.is(detector.quarantineLeft(POISON, 2_000), MINUTE_MS);
  t.true(detector.isSuspect(POISON, 2 * MINUTE_MS));
  t.false(detector.isQuarantined(POISON, 2 * MINUTE_MS));
  recordCrashes(detector, POISON, [120]);
  t.is(detector.quarantineLeft(POISON, 120_000), 2 * MINUTE_MS);
});

test("crashes far apart add up", (t) => {
  // Guards against a request that is repeated just when its crashes are
  // forgotten.
  const detector = new PoisonRequestDetector();
  recordCrashes(detector, POISON, [0, 61, 122]);
  t.true(detector.isQuarantined(POISON, 122_000));
  t.false(detector.isSuspect(POISON, 122_000 + HOUR_MS + 1));
});

test("crashes of three incarnations of one upstream are three crashes", (t) => {
  const detector = new PoisonRequestDetector();
  for (const upstream of ["u@1", "u@2", "u@3"].map(asId<UpstreamId>)) {
    detector.recordCrash({ fingerprint: POISON, upstream, at: 0 }, 0);
  }
  t.true(detector.isQuarantined(POISON, 0));
});

test("a complete response clears a request of earlier crashes", (t) => {
  // Guards against a sound request that is refused for upstreams that crashed
  // under others.
  const detector = new PoisonRequestDetector();
  recordCrashes(detector, SOUND, [0, 1]);
  t.true(detector.recordCompletion({ fingerprint: SOUND, at: 1_500 }));
  recordCrashes(detector, SOUND, [0, 1, 2, 3]);
  t.false(detector.isQuarantined(SOUND, 3_000));
  t.false(detector.recordCompletion({ fingerprint: POISON, at: 0 }));
});

test("a request that only ran where another one crashed more upstreams is not refused", (t) => {
  const detector = new PoisonRequestDetector();
  recordCrashes(detector, POISON, [0, 1, 2, 3]);
  recordCrashes(detector, SOUND, [1, 2, 3]);
  t.true(detector.isQuarantined(POISON, 3_000));
  t.false(detector.isQuarantined(SOUND, 3_000));
});

test("hosts do not pass crashes on for ever", (t) => {
  // Guards against records that return from peers with slower clocks.
  const detector = new PoisonRequestDetector();
  const crash = { fingerprint: POISON, upstream: asId<UpstreamId>("u"), at: 0 };
  t.false(detector.recordCrash(crash, HOUR_MS - 1));
  t.true(detector.recordCrash(crash, 1));
  t.is(detector.crashes(2).length, 1);
  t.is(detector.crashes(HOUR_MS + 1).length, 0);
});

test("requests in quarantine are remembered longest", (t) => {
  // Guards against a day of crashes that pushes the cause of others out.
  const detector = new PoisonRequestDetector();
  recordCrashes(detector, POISON, [0, 1, 2]);
  for (let index = 0; index < 3_000; index++) {
    recordCrashes(detector, asId<Digest>(`sound-${index}`), [2]);
  }
  t.true(detector.isQuarantined(POISON, 3_000));
  t.is(detector.crashes(3_000)[0]?.fingerprint, POISON);
});

test("a request is not refused for its part in three of many crashes", (t) => {
  // Guards against sound requests that are refused on a day of crashes.
  const detector = new PoisonRequestDetector();
  for (let index = 0; index < 8; index++) {
    recordCrashes(detector, asId<Digest>(`other-${index}`), [index]);
  }
  recordCrashes(detector, SOUND, [3, 5, 7]);
  t.false(detector.isQuarantined(SOUND, 7_000));
});

test("two poison requests at the same time are both refused", (t) => {
  // Guards against requests that hide behind each other's crashes.
  const detector = new PoisonRequestDetector();
  const other = asId<Digest>("other poison");
  recordCrashes(detector, POISON, [0, 2, 4, 6]);
  recordCrashes(detector, other, [1, 3, 5, 7]);
  t.false(detector.isQuarantined(POISON, 7_000));
  recordCrashes(detector, POISON, [8]);
  recordCrashes(detector, other, [9]);
  t.true(detector.isQuarantined(POISON, 9_000));
  t.true(detector.isQuarantined(other, 9_000));
});

test("a host that hears no peers refuses a request after one of many crashes", (t) => {
  // Guards against upstreams that crash meanwhile and hide a poison request there.
  const detector = new PoisonRequestDetector();
  for (let index = 0; index < 4; index++) {
    recordCrashes(detector, asId<Digest>(`other-${index}`), [index]);
  }
  recordCrashes(detector, POISON, [4]);
  t.is(detector.quarantineLeft(POISON, 4_000), 0);
  t.is(detector.quarantineLeft(POISON, 4_000, { isAlone: true }), MINUTE_MS);
});
