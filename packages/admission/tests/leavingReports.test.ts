import { createUpstreamId, UpstreamDirectory } from "@wasabivane/admission";
import test from "ava";
import { buildUpstream, PLANS } from "./helpers/build.ts";

/** Time for which the store must contradict a report. */
const LONG_MS = 30_000;
const REPORTED = buildUpstream(0);
const ID = REPORTED.upstream;

function buildReported(): UpstreamDirectory {
  const directory = new UpstreamDirectory();
  directory.set(REPORTED);
  directory.reportLeaving(ID, 0);
  return directory;
}

function isUsed(directory: UpstreamDirectory): boolean {
  return directory.get(ID) !== undefined && directory.of(PLANS).length > 0;
}

test("the store's list of ready upstreams does not undo a report of leaving", (t) => {
  // Guards against an entry that is older than the report, as after an outage.
  const directory = buildReported();
  t.false(isUsed(directory));
  directory.set({ ...REPORTED, slots: 3 });
  directory.replaceAll([REPORTED]);
  directory.remove(ID);
  directory.set(REPORTED);
  t.false(isUsed(directory));
  t.deepEqual(directory.all(), [REPORTED]);
});

test("an upstream is used again when the store has long contradicted a report", (t) => {
  // Guards against a false report that takes an upstream out of use for good.
  const directory = buildReported();
  t.deepEqual(directory.reinstate({ isCurrent: true, now: LONG_MS - 1 }), []);
  t.deepEqual(directory.reinstate({ isCurrent: true, now: LONG_MS }), [ID]);
  t.true(isUsed(directory));
});

test("a store that is silent or lists the upstream no longer refutes no report", (t) => {
  // Guards against requests to an upstream whose leaving the store has missed.
  const directory = buildReported();
  directory.reinstate({ isCurrent: false, now: LONG_MS - 1 });
  directory.remove(ID, 2 * LONG_MS);
  directory.reinstate({ isCurrent: true, now: 2 * LONG_MS - 2 });
  directory.set(REPORTED);
  t.deepEqual(
    directory.reinstate({ isCurrent: true, now: 3 * LONG_MS - 3 }),
    [],
  );
  directory.set({ ...REPORTED, isLeaving: true });
  t.deepEqual(directory.reinstate({ isCurrent: true, now: 9 * LONG_MS }), []);
  t.false(isUsed(directory));
});

test("a second report after the first was refuted is final", (t) => {
  // Guards against an upstream that gets requests again each time.
  const directory = buildReported();
  directory.reinstate({ isCurrent: true, now: LONG_MS });
  t.true(directory.reportLeaving(ID, LONG_MS + 1));
  t.deepEqual(directory.reinstate({ isCurrent: true, now: 9 * LONG_MS }), []);
  t.false(isUsed(directory));
  t.false(directory.reportLeaving(ID, 9 * LONG_MS));
});

test("a report of one incarnation says nothing about the next", (t) => {
  // Guards against an old report that keeps requests from a new upstream.
  const directory = new UpstreamDirectory();
  const [before, after] = [1_000, 2_000].map((bornAt) =>
    buildUpstream(0, { upstream: createUpstreamId("u0", bornAt), bornAt })
  );
  directory.set(before!);
  directory.reportLeaving(before!.upstream, 0);
  directory.set(after!);
  t.deepEqual(directory.of(PLANS), [after]);
  directory.reportLeaving(before!.upstream, 1);
  t.deepEqual(directory.of(PLANS), [after]);
});
