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

test("an upstream that processes long prompts may pause for as long as that takes", (t) => {
  // Guards against restarting streams that pause only because their upstream
  // processes long prompts.
  const route = streamRoute();
  t.is(pauseTimeout(route, IDLE), 1_000);
  t.is(pauseTimeout(route, { ...IDLE, prefillTime: 300 }), 1_600);
});

test("the pause timeout is bounded by the idle timeout of the caller", (t) => {
  // Guards against a timeout that leaves no time for another upstream before
  // the caller leaves.
  const route = streamRoute();
  t.is(pauseTimeout(route, { ...IDLE, prefillTime: 60_000 }), 2_000);
  const short = streamRoute({ pauseTarget: 100, target: 100 });
  t.is(pauseTimeout(short, { ...IDLE, prefillTime: 60_000 }), 1_000);
});

test("an upstream that hangs on one request gets no extra time", (t) => {
  // Guards against granting extra time to an upstream that hangs on one request
  // but continues others.
  const route = streamRoute();
  const prefillTime = 5_000;
  t.is(
    pauseTimeout(route, {
      ...IDLE,
      prefillTime,
      otherProgressTime: 800,
    }),
    1_000,
  );
  t.is(
    pauseTimeout(route, { ...IDLE, prefillTime, isEjected: true }),
    1_000,
  );
  t.is(pauseTimeout(streamRoute({ pauseTarget: 0 }), IDLE), undefined);
});

test("events of a request are distinguished from those of others", (t) => {
  const activity = new UpstreamActivity();
  const [own, other] = [asId<RequestId>("q1"), asId<RequestId>("q2")];
  activity.recordEvent(U0, own, 100);
  t.is(activity.lastEventOfOthers(U0, own), undefined);
  activity.recordEvent(U0, other, 110);
  activity.recordEvent(U0, own, 120);
  activity.recordEvent(U0, own, 130);
  t.is(activity.lastEventOfOthers(U0, own), 110);
  t.is(activity.lastEventOfOthers(U0, other), 130);
  activity.forget(U0);
  t.is(activity.lastEventOfOthers(U0, other), undefined);
});
