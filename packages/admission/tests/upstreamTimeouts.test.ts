import test from "ava";
import {
  asId,
  asTier,
  type RequestId,
  type UpstreamId,
} from "@wasabivane/common";
import {
  type PauseContext,
  pauseTimeout,
  type Route,
  UpstreamActivity,
} from "@wasabivane/admission";

const U0 = asId<UpstreamId>("u0");
const IDLE: PauseContext = {
  prefillTime: 0,
  otherProgressTime: 0,
  isEjected: false,
};

function streamRoute(changes: Partial<Route> = {}): Route {
  return {
    route: asId("r"),
    host: "plans.example",
    prefix: "/a/",
    isStreaming: true,
    repeatability: "resumable",
    timeout: 12_000,
    target: 500,
    pauseTarget: 500,
    tier: asTier(2),
    maximumAttempts: 2,
    isAnonymous: false,
    targets: [],
    ...changes,
  };
}

test("an engine that reads long prompts may pause for as long as that takes", (t) => {
  // A slow engine was given two prompts of ten thousand tokens. All its streams
  // pause for more than a second, then go on; cut as silent, each would begin anew
  // elsewhere or break off, with most of its answer delivered.
  const route = streamRoute();
  t.is(pauseTimeout(route, IDLE), 1_000);
  t.is(pauseTimeout(route, { ...IDLE, prefillTime: 300 }), 1_600);
});

test("no reading is an excuse for longer than callers bear", (t) => {
  // Callers of this route leave after a gap of 4 s; there must be time for another
  // upstream to go on before.
  const route = streamRoute();
  t.is(pauseTimeout(route, { ...IDLE, prefillTime: 60_000 }), 2_000);
  const short = streamRoute({ pauseTarget: 100, target: 100 });
  t.is(pauseTimeout(short, { ...IDLE, prefillTime: 60_000 }), 1_000);
});

test("an engine that hangs on one request is left at the usual time", (t) => {
  // The other streams there go on while this one stands still: it is not the
  // reading of prompts that keeps it.
  const route = streamRoute();
  const reading = 5_000;
  t.is(
    pauseTimeout(route, {
      ...IDLE,
      prefillTime: reading,
      otherProgressTime: 800,
    }),
    1_000,
  );
  t.is(
    pauseTimeout(route, { ...IDLE, prefillTime: reading, isEjected: true }),
    1_000,
  );
  t.is(pauseTimeout(streamRoute({ pauseTarget: 0 }), IDLE), undefined);
});

test("signs of life of a request are told from those of the others", (t) => {
  const signs = new UpstreamActivity();
  const [own, other] = [asId<RequestId>("q1"), asId<RequestId>("q2")];
  signs.recordEvent(U0, own, 100);
  t.is(signs.lastEventOfOthers(U0, own), undefined);
  signs.recordEvent(U0, other, 110);
  signs.recordEvent(U0, own, 120);
  signs.recordEvent(U0, own, 130);
  t.is(signs.lastEventOfOthers(U0, own), 110);
  t.is(signs.lastEventOfOthers(U0, other), 130);
  signs.forget(U0);
  t.is(signs.lastEventOfOthers(U0, other), undefined);
});
