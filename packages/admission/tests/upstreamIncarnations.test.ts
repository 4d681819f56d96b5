import test from "ava";
import { createUpstreamId, UpstreamDirectory } from "@wasabivane/admission";
import { buildUpstream, PLANS } from "./helpers/build.ts";

/** Builds an incarnation of the upstream named `u0`. */
function buildIncarnation(
  bornAt: number,
  changes = {},
): ReturnType<typeof buildUpstream> {
  const upstream = createUpstreamId("u0", bornAt);
  return buildUpstream(0, { upstream, bornAt, ...changes });
}

test("a restarted upstream is a new incarnation", (t) => {
  // Guards against blocking a restarted upstream by the state of its previous
  // incarnation.
  const directory = new UpstreamDirectory();
  directory.set(buildIncarnation(1_000));
  directory.markLeaving(buildIncarnation(1_000).upstream);
  t.is(directory.set(buildIncarnation(2_000)), undefined);
  t.deepEqual(directory.of(PLANS), [buildIncarnation(2_000)]);
  t.deepEqual(directory.set(buildIncarnation(3_000)), buildIncarnation(2_000));
  t.deepEqual(directory.of(PLANS), [buildIncarnation(3_000)]);
});

test("outdated entries of a previous incarnation do not affect the current one", (t) => {
  const directory = new UpstreamDirectory();
  directory.set(buildIncarnation(2_000));
  directory.markLeaving(buildIncarnation(1_000).upstream);
  directory.set(buildIncarnation(1_000));
  directory.set(buildIncarnation(1_000, { isLeaving: true }));
  t.deepEqual(directory.of(PLANS), [buildIncarnation(2_000)]);
  t.is(directory.findByName("u0"), directory.of(PLANS)[0]);
});

test("a full listing replaces previous incarnations and returns them", (t) => {
  const directory = new UpstreamDirectory();
  directory.set(buildIncarnation(1_000));
  directory.set(buildUpstream(1));
  t.deepEqual(directory.replaceAll([buildIncarnation(2_000)]), [
    buildUpstream(1),
    buildIncarnation(1_000),
  ]);
  t.deepEqual(directory.of(PLANS), [buildIncarnation(2_000)]);
});

test("an upstream without a start time has its name as its id", (t) => {
  t.is(createUpstreamId("i-1", 0) as string, "i-1");
  t.not(createUpstreamId("i-1", 1), createUpstreamId("i-1", 2));
});
