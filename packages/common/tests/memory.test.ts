import { Buffer } from "node:buffer";
import { ByteCollector, MemoryBudget } from "@wasabivane/common";
import test from "ava";
import fc from "fast-check";

test("collected bytes are those of the chunks, however they are cut", (t) => {
  // Guards against bytes that are lost or doubled where a block ends.
  fc.assert(fc.property(
    fc.array(fc.uint8Array({ maxLength: 3_000 }), { maxLength: 40 }),
    (chunks) => {
      const collector = new ByteCollector();
      for (const chunk of chunks) collector.add(chunk);
      const expected = Buffer.concat(chunks);
      t.is(collector.length, expected.length);
      t.deepEqual(collector.take(), expected);
      t.is(collector.length, 0);
      collector.add(expected);
      t.deepEqual(collector.take(), expected);
    },
  ));
});

test("what all items hold stays within the budget, unless one is alone", (t) => {
  // Guards against many items that are each within their own limit.
  fc.assert(fc.property(
    fc.array(
      fc.record({ item: fc.nat(9), bytes: fc.nat(300), ends: fc.boolean() }),
      { maxLength: 200 },
    ),
    (steps) => {
      const budget = new MemoryBudget({ limit: 400 });
      const leases = new Map(
        Array.from({ length: 10 }, (_, item) => [item, budget.reserve(0)!]),
      );
      for (const { item, bytes, ends } of steps) {
        const lease = leases.get(item)!;
        if (ends) {
          lease.release();
          t.false(lease.resize(1));
          leases.set(item, budget.reserve(0)!);
        } else {
          const before = lease.bytes;
          const isGranted = lease.resize(bytes);
          t.is(lease.bytes, isGranted ? bytes : before);
        }
        const held = [...leases.values()].map(({ bytes }) => bytes);
        t.is(budget.used, held.reduce((sum, bytes) => sum + bytes, 0));
        const isAlone = held.filter((bytes) => bytes > 0).length <= 1;
        t.true(isAlone || budget.used <= budget.limit);
      }
    },
  ));
});
