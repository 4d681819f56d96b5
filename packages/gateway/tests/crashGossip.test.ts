import { asId, type Digest, type UpstreamId } from "@wasabivane/common";
import { PoisonRequestDetector } from "@wasabivane/admission";
import { CrashGossip } from "@wasabivane/gateway";
import test from "ava";

const NOW = 100_000;

test("a peer's crash tells of an upstream in use only while it is recent", (t) => {
  // Guards against a request that is blamed as its upstream once crashed before.
  const down: string[] = [];
  const gossip = new CrashGossip({
    crashes: new PoisonRequestDetector(),
    onUpdate: () => {},
    onCrash: (upstream) => down.push(upstream),
  });
  const fingerprint = asId<Digest>("f");
  gossip.apply({
    crashes: [
      [fingerprint, asId<UpstreamId>("recent"), 1_000],
      [fingerprint, asId<UpstreamId>("old"), 60_000],
    ],
    completions: [],
  }, NOW);
  t.deepEqual(down, ["recent"]);
});
