import { asId } from "@wasabivane/common";
import {
  type SoftwareVersion,
  UpstreamDirectory,
  VersionHistory,
} from "@wasabivane/admission";
import test from "ava";
import { buildUpstream, PLANS } from "./helpers/build.ts";

const STREAM_AGE_MS = 30_000;

interface ListedVersions {
  readonly directory: UpstreamDirectory;
  readonly list: { isCurrent: boolean };
  readonly history: VersionHistory;
  add(index: number, version: string): void;
  only(now: number): string | undefined;
}

/** A history, with the directory and the state that it reads. */
function createHistory(
  { completeSince }: { completeSince: number },
): ListedVersions {
  const directory = new UpstreamDirectory();
  const list = { isCurrent: true };
  const history = new VersionHistory({
    directory,
    maximumStreamAge: () => STREAM_AGE_MS,
    completeSince,
    isCurrent: () => list.isCurrent,
  });
  const add = (index: number, version: string): void => {
    directory.set({
      ...buildUpstream(index),
      softwareVersion: asId<SoftwareVersion>(version),
    });
  };
  const only = (now: number): string | undefined =>
    history.onlyVersion(PLANS, now);
  return { directory, list, history, add, only };
}

test("a host that has just started does not know the version of all streams", (t) => {
  // Guards against streams of a version that left before the host started.
  const { add, only } = createHistory({ completeSince: 0 });
  add(0, "a");
  t.is(only(STREAM_AGE_MS - 1), undefined);
  t.is(only(STREAM_AGE_MS), "a");
});

test("at the first start of all hosts no stream can have begun before", (t) => {
  const { add, only } = createHistory({ completeSince: -Infinity });
  t.is(only(0), undefined);
  add(0, "a");
  t.is(only(0), "a");
});

test("a version that has left counts as long as its streams can go on", (t) => {
  // Guards against streams that outlive the last upstream of their version.
  const { directory, add, history, only } = createHistory({
    completeSince: -Infinity,
  });
  add(0, "a");
  add(1, "b");
  t.is(only(0), undefined);
  directory.remove(buildUpstream(0).upstream);
  history.update(1_000);
  t.is(only(1_000 + STREAM_AGE_MS - 1), undefined);
  t.is(only(1_000 + STREAM_AGE_MS), "b");
});

test("what came and went while the list was outdated is not known", (t) => {
  // Guards against a host that was cut off and guesses.
  const { add, list, history, only } = createHistory({
    completeSince: -Infinity,
  });
  add(0, "a");
  t.is(only(0), "a");
  list.isCurrent = false;
  t.is(only(100), undefined);
  list.isCurrent = true;
  history.update(200);
  t.is(only(100 + STREAM_AGE_MS - 1), undefined);
  t.is(only(100 + STREAM_AGE_MS), "a");
});

test("an upstream that keeps its name and changes its version counts as two", (t) => {
  const { add, only } = createHistory({ completeSince: -Infinity });
  add(0, "a");
  t.is(only(0), "a");
  add(0, "b");
  t.is(only(100), undefined);
});

test("a version that came and left between two lists counts", (t) => {
  // Guards against streams of an upstream that this host never saw ready, as it
  // heard nothing while the upstream joined and began to leave.
  const { directory, add, only } = createHistory({ completeSince: -Infinity });
  add(0, "a");
  t.is(only(0), "a");
  directory.set({
    ...buildUpstream(1),
    softwareVersion: asId<SoftwareVersion>("b"),
    isLeaving: true,
  });
  t.is(only(100), undefined);
  t.is(only(100 + STREAM_AGE_MS), "a");
});

test("after a removal of an unknown upstream, and a list that replaces another, versions are not known", (t) => {
  // Guards against streams of an upstream that came and left between two lists.
  const { directory, add, only } = createHistory({ completeSince: -Infinity });
  add(0, "a");
  directory.recordRemoval(buildUpstream(0).name);
  t.is(only(0), "a");
  directory.recordRemoval("unknown");
  t.is(only(100), undefined);
  t.is(only(100 + STREAM_AGE_MS), "a");
  directory.replaceAll(directory.all());
  t.is(only(200 + STREAM_AGE_MS), undefined);
});

test("a version that another entry of its name replaced before it was applied counts", (t) => {
  // Guards against streams of an upstream that restarted twice between two lists.
  const { directory, add, only } = createHistory({ completeSince: -Infinity });
  add(0, "a");
  t.is(only(0), "a");
  directory.recordReplaced({
    ...buildUpstream(0),
    softwareVersion: asId<SoftwareVersion>("b"),
  });
  t.is(only(100), undefined);
  t.is(only(100 + STREAM_AGE_MS), "a");
});
