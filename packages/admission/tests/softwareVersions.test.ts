import { asId } from "@wasabivane/common";
import type { PendingRequest, SoftwareVersion } from "@wasabivane/admission";
import test from "ava";
import {
  buildPendingRequest,
  buildScheduler,
  buildUpstream,
} from "./helpers/build.ts";

const OLD = asId<SoftwareVersion>("old");
const NEW = asId<SoftwareVersion>("new");
/** More than a scheduler considers for free slots. */
const MANY = 100;

/** Builds a stream that goes on at one version. */
function buildBound(
  name: string,
  softwareVersion: SoftwareVersion,
): ReturnType<typeof buildPendingRequest> & PendingRequest {
  const pending = buildPendingRequest(name, { isContinuation: true });
  return Object.assign(pending, { softwareVersion });
}

test("streams that wait for a full version keep no slots of another one empty", (t) => {
  // Guards against a release after which new requests wait behind broken streams.
  const { scheduler, begin } = buildScheduler([
    buildUpstream(0, { slots: 1, softwareVersion: OLD }),
    buildUpstream(1, { slots: 1, softwareVersion: NEW }),
  ]);
  begin(buildUpstream(0).upstream);
  begin(buildUpstream(0).upstream);
  for (let count = 0; count < MANY; count++) {
    scheduler.submit(buildBound(`old-${count}`, OLD), 0);
  }
  const other = buildPendingRequest("other");
  scheduler.submit(other, 0);
  t.is(other.decision?.kind, "place");
});

test("a stream is refused when the last upstream of its version leaves", (t) => {
  // Guards against streams that wait for nothing until their deadline.
  const { scheduler, directory, begin } = buildScheduler([
    buildUpstream(0, { slots: 1, softwareVersion: OLD }),
    buildUpstream(1, { slots: 1, softwareVersion: NEW }),
  ]);
  begin(buildUpstream(0).upstream);
  begin(buildUpstream(0).upstream);
  const pending = buildBound("old", OLD);
  scheduler.submit(pending, 0);
  t.is(pending.decision, undefined);
  directory.remove(buildUpstream(0).upstream);
  scheduler.review(10);
  t.like(pending.decision, { kind: "refuse", reason: "no-other-upstream" });
});

test("a stream is placed at its version only", (t) => {
  const { scheduler } = buildScheduler([
    buildUpstream(0, { slots: 8, softwareVersion: OLD }),
    buildUpstream(1, { slots: 1, softwareVersion: NEW }),
  ]);
  const pending = buildBound("new", NEW);
  scheduler.submit(pending, 0);
  t.like(pending.decision, {
    kind: "place",
    upstream: { softwareVersion: NEW },
  });
});
