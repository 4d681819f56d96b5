import test from "ava";
import { createUpstreamId, UpstreamDirectory } from "@wasabivane/admission";
import { buildUpstream, PLANS } from "./helpers/build.ts";

/** A life of the upstream that the platform calls `u0`. */
function life(bornAt: number, changes = {}): ReturnType<typeof buildUpstream> {
  const upstream = createUpstreamId("u0", bornAt);
  return buildUpstream(0, { upstream, bornAt, ...changes });
}

test("an upstream that starts again under its name is another one", (t) => {
  // The upstream was left for good when its address answered for another one. It
  // starts again under its old name: nothing that was believed of its former life
  // may keep work from it, and the former life gets none any more.
  const directory = new UpstreamDirectory();
  directory.set(life(1_000));
  directory.markLeaving(life(1_000).upstream);
  t.is(directory.set(life(2_000)), undefined);
  t.deepEqual(directory.of(PLANS), [life(2_000)]);
  t.deepEqual(directory.set(life(3_000)), life(2_000));
  t.deepEqual(directory.of(PLANS), [life(3_000)]);
});

test("a peer that still speaks of a former life does no harm to the new one", (t) => {
  const directory = new UpstreamDirectory();
  directory.set(life(2_000));
  directory.markLeaving(life(1_000).upstream);
  directory.set(life(1_000));
  directory.set(life(1_000, { isLeaving: true }));
  t.deepEqual(directory.of(PLANS), [life(2_000)]);
  t.is(directory.findByName("u0"), directory.of(PLANS)[0]);
});

test("a full reading replaces former lives and says which are over", (t) => {
  const directory = new UpstreamDirectory();
  directory.set(life(1_000));
  directory.set(buildUpstream(1));
  t.deepEqual(directory.replaceAll([life(2_000)]), [
    buildUpstream(1),
    life(1_000),
  ]);
  t.deepEqual(directory.of(PLANS), [life(2_000)]);
});

test("an upstream that does not tell its birth keeps its name as its id", (t) => {
  t.is(createUpstreamId("i-1", 0) as string, "i-1");
  t.not(createUpstreamId("i-1", 1), createUpstreamId("i-1", 2));
});
