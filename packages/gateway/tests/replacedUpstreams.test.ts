import test from "ava";
import { asId, type UpstreamId } from "@wasabivane/common";
import {
  goodHead,
  sendRequest,
  startGateway,
  startHostPair,
  startUpstream,
  until,
} from "./helpers/fleet.ts";

const REPLACED = asId<UpstreamId>("u0");

test("an upstream whose address answers for another one gets nothing more", async (t) => {
  // An upstream crashes and is back at its address under another name, which the
  // store tells seconds later. It refuses what was meant for its predecessor, at
  // once, so that the place looks free and draws one request after the other.
  const replaced = await startUpstream((received) => {
    received.socket.write(
      "HTTP/1.1 421 Misdirected Request\r\ncontent-length: 0\r\n\r\n",
    );
  });
  const sound = await startUpstream((received) => {
    setTimeout(() => {
      received.socket.write(goodHead(received, { "content-length": 2 }) + "ok");
    }, 30);
  });
  const fleet = await startGateway({
    upstreams: [replaced, sound],
    slots: 2,
  });
  await sendRequest(fleet.url, { headers: { id: "first" } });
  await sendRequest(fleet.url, { headers: { id: "second" } });
  const before = replaced.received.length;
  const seen = await Promise.all(
    Array.from(
      { length: 20 },
      (_, index) => sendRequest(fleet.url, { headers: { id: `q${index}` } }),
    ),
  );
  t.true(seen.every(({ status }) => status === 200));
  t.true(replaced.received.length <= Math.max(2, before));
  await fleet.close();
});

test("hosts tell each other that an upstream was replaced", async (t) => {
  const replaced = await startUpstream((received) => {
    received.socket.write(
      "HTTP/1.1 421 Misdirected Request\r\ncontent-length: 0\r\n\r\n",
    );
  });
  const { reading, refused, close } = await startHostPair([replaced]);
  const seen = await sendRequest(reading.url);
  t.is(seen.status, 503);
  await until(() =>
    refused.gateway.context.directory.get(REPLACED) === undefined
  );
  t.pass();
  await close();
});
