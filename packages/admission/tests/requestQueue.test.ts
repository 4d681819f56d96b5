import { asId, asTier, type RequestId } from "@wasabivane/common";
import { type QueuedRequest, RequestQueue } from "@wasabivane/admission";
import test from "ava";
import fc from "fast-check";

const BEGUN = 0;
const ON_TIME = 1;
const LATE = 2;

function placeOf(item: QueuedRequest, now: number): number {
  if (item.isContinuation === true) return BEGUN;
  return item.onTimeUntil <= now ? LATE : ON_TIME;
}

function turnOf(item: QueuedRequest, now: number): number {
  return placeOf(item, now) === ON_TIME ? item.onTimeUntil : item.since;
}

/** The order of the line, worked out anew each time. */
function sortedAnew(
  items: readonly QueuedRequest[],
  now: number,
): QueuedRequest[] {
  return items.toSorted((left, right) =>
    left.tier - right.tier ||
    placeOf(left, now) - placeOf(right, now) ||
    turnOf(left, now) - turnOf(right, now)
  );
}

/** Whether another one of its tier starts before it; of late ones, only late ones count. */
function isAhead(
  other: QueuedRequest,
  item: QueuedRequest,
  now: number,
): boolean {
  if (item.tier !== other.tier) return false;
  const place = placeOf(item, now);
  if (placeOf(other, now) !== place) {
    return place === ON_TIME && placeOf(other, now) === BEGUN;
  }
  return turnOf(other, now) <= turnOf(item, now);
}

const waiters = fc.record({
  tier: fc.integer({ min: 0, max: 2 }).map(asTier),
  since: fc.integer({ min: 0, max: 40 }),
  onTimeUntil: fc.integer({ min: 0, max: 400 }),
  usefulUntil: fc.integer({ min: 200, max: 900 }),
  // Work of one length never passes more urgent work.
  hold: fc.constant(300),
  isContinuation: fc.boolean(),
});

const steps = fc.array(
  fc.record({
    after: fc.integer({ min: 0, max: 30 }),
    pushed: fc.option(waiters, { nil: undefined }),
    takenOut: fc.option(fc.nat({ max: 50 }), { nil: undefined }),
  }),
  { maxLength: 60 },
);

test("the line stands as if it were sorted anew at each look", (t) => {
  fc.assert(
    fc.property(steps, (taken) => {
      const line = new RequestQueue<QueuedRequest>();
      let items: QueuedRequest[] = [];
      let now = 0;
      for (const [index, { after, pushed, takenOut }] of taken.entries()) {
        now += after;
        if (pushed !== undefined) {
          const item = { ...pushed, request: asId<RequestId>(`r${index}`) };
          items.push(item);
          line.push(item, now);
        }
        const gone = items[takenOut ?? -1];
        if (gone !== undefined) {
          items = items.filter((item) => item !== gone);
          line.remove(gone.request);
        }
        const expected = sortedAnew(items, now);
        t.deepEqual(line.inOrder(now), expected);
        for (const item of items) {
          const ahead = items.filter((other) =>
            other !== item && isAhead(other, item, now)
          );
          t.is(line.estimate(item, now).ahead, ahead.length);
        }
      }
    }),
    { seed: 5, numRuns: 200 },
  );
});
