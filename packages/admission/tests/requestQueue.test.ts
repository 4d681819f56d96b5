import { asId, asTier, type RequestId } from "@wasabivane/common";
import { type QueuedRequest, RequestQueue } from "@wasabivane/admission";
import test from "ava";
import fc from "fast-check";

const CONTINUATION = 0;
const ON_TIME = 1;
const LATE = 2;

function positionOf(item: QueuedRequest, now: number): number {
  if (item.isContinuation === true) return CONTINUATION;
  return item.onTimeUntil <= now ? LATE : ON_TIME;
}

function priorityOf(item: QueuedRequest, now: number): number {
  return positionOf(item, now) === ON_TIME ? item.onTimeUntil : item.since;
}

/** Returns the expected start order, sorted from scratch. */
function sortFromScratch(
  items: readonly QueuedRequest[],
  now: number,
): QueuedRequest[] {
  return items.toSorted((left, right) =>
    left.tier - right.tier ||
    positionOf(left, now) - positionOf(right, now) ||
    priorityOf(left, now) - priorityOf(right, now)
  );
}

/**
 * Whether another request of the same tier starts before it; late requests
 * count only late ones.
 */
function isAhead(
  other: QueuedRequest,
  item: QueuedRequest,
  now: number,
): boolean {
  if (item.tier !== other.tier) return false;
  const position = positionOf(item, now);
  if (positionOf(other, now) !== position) {
    return position === ON_TIME && positionOf(other, now) === CONTINUATION;
  }
  return priorityOf(other, now) <= priorityOf(item, now);
}

const requests = fc.record({
  tier: fc.integer({ min: 0, max: 2 }).map(asTier),
  since: fc.integer({ min: 0, max: 40 }),
  onTimeUntil: fc.integer({ min: 0, max: 400 }),
  usefulUntil: fc.integer({ min: 200, max: 900 }),
  // Requests of equal length never bypass others.
  slotTime: fc.constant(300),
  isContinuation: fc.boolean(),
});

const steps = fc.array(
  fc.record({
    after: fc.integer({ min: 0, max: 30 }),
    pushed: fc.option(requests, { nil: undefined }),
    takenOut: fc.option(fc.nat({ max: 50 }), { nil: undefined }),
  }),
  { maxLength: 60 },
);

test("the queue is always in the order of a full sort", (t) => {
  fc.assert(
    fc.property(steps, (taken) => {
      const queue = new RequestQueue<QueuedRequest>();
      let items: QueuedRequest[] = [];
      let now = 0;
      for (const [index, { after, pushed, takenOut }] of taken.entries()) {
        now += after;
        if (pushed !== undefined) {
          const item = { ...pushed, request: asId<RequestId>(`r${index}`) };
          items.push(item);
          queue.push(item, now);
        }
        const gone = items[takenOut ?? -1];
        if (gone !== undefined) {
          items = items.filter((item) => item !== gone);
          queue.remove(gone.request);
        }
        const expected = sortFromScratch(items, now);
        t.deepEqual(queue.inOrder(now), expected);
        for (const item of items) {
          const ahead = items.filter((other) =>
            other !== item && isAhead(other, item, now)
          );
          t.is(queue.estimate(item, now).ahead, ahead.length);
        }
      }
    }),
    { seed: 5, numRuns: 200 },
  );
});
