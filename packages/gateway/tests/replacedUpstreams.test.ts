import test from "ava";
import { asId, type UpstreamId } from "@wasabivane/common";
import {
  responseHead,
  sendRequest,
  startGateway,
  startHostPair,
  startUpstream,
  waitUntil,
} from "./helpers/fleet.ts";

const REPLACED = asId<UpstreamId>("u0");

test("an upstream whose address belongs to another one gets no further requests", async (t) => {
  // Guards against a slot that looks free because it rejects each request at
  // once.
  const replaced = await startUpstream((received) => {
    received.socket.write(
      "HTTP/1.1 421 Misdirected Request\r\ncontent-length: 0\r\n\r\n",
    );
  });
  const healthy = await startUpstream((received) => {
    setTimeout(() => {
      received.socket.write(
        responseHead(received, { "content-length": 2 }) + "ok",
      );
    }, 30);
  });
  const host = await startGateway({
    upstreams: [replaced, healthy],
    slots: 2,
  });
  // Keeps a busy machine from delaying connections, which the host then sheds.
  Object.assign(host.gateway.context.lag, { observe: () => {} });
  await sendRequest(host.url, { headers: { id: "first" } });
  await sendRequest(host.url, { headers: { id: "second" } });
  const before = replaced.received.length;
  const seen = await Promise.all(
    Array.from(
      { length: 20 },
      (_, index) => sendRequest(host.url, { headers: { id: `q${index}` } }),
    ),
  );
  t.true(seen.every(({ status }) => status === 200));
  t.true(replaced.received.length <= Math.max(2, before));
  await host.close();
});

test("hosts inform each other that an upstream was replaced", async (t) => {
  const replaced = await startUpstream((received) => {
    received.socket.write(
      "HTTP/1.1 421 Misdirected Request\r\ncontent-length: 0\r\n\r\n",
    );
  });
  const { reader, follower, close } = await startHostPair([
    replaced,
  ]);
  const seen = await sendRequest(reader.url);
  t.is(seen.status, 503);
  await waitUntil(() =>
    follower.gateway.context.directory.get(REPLACED) === undefined
  );
  t.pass();
  await close();
});
