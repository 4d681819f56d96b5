import {
  type Address,
  asId,
  parseAddress,
  SystemTimer,
} from "@wasabivane/common";
import test from "ava";
import fc from "fast-check";

test("only addresses that can be connected to are read", (t) => {
  // Guards against texts that look like an address and end the process on use.
  const sound = ["127.0.0.1:1", "10.2.0.17:65535", "255.255.255.255:80"];
  for (const text of sound) t.is(parseAddress(text), asId<Address>(text), text);
  const odd = [
    "",
    ":80",
    "127.0.0.1",
    "127.0.0.1:0",
    "127.0.0.1:65536",
    "127.0.0.1:080",
    "127.0.0.1:8e1",
    "127.0.0.1: 80",
    "256.0.0.1:80",
    "1.2.3:80",
    "1.2.3.4.5:80",
    "01.2.3.4:80",
    "::1:80",
    "host.example:80",
    "1.2.3.4:80\n",
    "1.2.3.4:80/x",
  ];
  for (const text of odd) t.is(parseAddress(text), undefined, text);
});

test("the URL of any address that is read has its IP address and port", (t) => {
  const figures = fc.array(fc.nat({ max: 300 }), {
    minLength: 3,
    maxLength: 5,
  });
  const numeric = fc.tuple(figures, fc.nat({ max: 70_000 })).map(
    ([parts, port]) => `${parts.join(".")}:${port}`,
  );
  fc.assert(
    fc.property(fc.oneof(numeric, fc.string()), (text) => {
      const address = parseAddress(text);
      if (address === undefined) return;
      const { hostname, port } = new URL(`http://${address}`);
      t.is(`${hostname}:${port === "" ? 80 : port}`, address);
    }),
    { seed: 68, numRuns: 2_000 },
  );
});

test("a timer whose delay the runtime cannot count does not end at once", async (t) => {
  // Guards against a wait without an end that becomes a loop without a pause.
  const timer = new SystemTimer();
  for (const delay of [2 ** 31, 2 ** 40, 1e300, Infinity]) {
    const calls = { after: 0, every: 0 };
    const subscriptions = [
      timer.after(delay, () => calls.after++),
      timer.every(delay, () => calls.every++),
    ];
    await new Promise((resolve) => setTimeout(resolve, 20));
    for (const subscription of subscriptions) subscription.cancel();
    t.deepEqual(calls, { after: 0, every: 0 }, String(delay));
  }
});
