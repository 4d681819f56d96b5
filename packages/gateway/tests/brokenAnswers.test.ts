import test from "ava";
import {
  goodHead,
  sendRequest,
  startGateway,
  startUpstream,
} from "./helpers/fleet.ts";

test("an answer without a length that is reset is not passed on as whole", async (t) => {
  // The upstream answers without a length, so that the answer ends with its
  // connection, and crashes in the middle: the connection is reset. Taking the
  // reset for the end would give the caller half a body framed as a whole one.
  // The request may run again, so that the caller gets the second upstream's.
  const crashing = await startUpstream((received) => {
    received.socket.write(goodHead(received, { connection: "close" }) + "half");
    setTimeout(() => received.socket.resetAndDestroy(), 30);
  });
  const sound = await startUpstream((received) => {
    received.socket.write(
      goodHead(received, { "content-length": 5 }) + "whole",
    );
  });
  const fleet = await startGateway({ upstreams: [crashing] });
  const alone = await sendRequest(fleet.url);
  t.is(alone.status, 502);
  t.notRegex(alone.body, /half/);
  await fleet.close();

  const both = await startGateway({ upstreams: [sound] });
  const seen = await sendRequest(both.url);
  t.deepEqual([seen.status, seen.body], [200, "whole"]);
  await both.close();
});

test("a reset that arrives together with the last bytes is no end either", async (t) => {
  // The half answer and the reset reach the host in one turn of its event loop. The
  // runtime then reports an end of the connection and keeps the reset to itself.
  const crashing = await startUpstream((received) => {
    received.socket.write(goodHead(received, { connection: "close" }) + "half");
    received.socket.resetAndDestroy();
  });
  const fleet = await startGateway({
    upstreams: [crashing],
    route: { repeatability: "at-most-once" },
  });
  for (const id of ["q1", "q2", "q3", "q4", "q5"]) {
    const seen = await sendRequest(fleet.url, { headers: { id } });
    t.is(seen.status, 502);
    t.notRegex(seen.body, /half/);
  }
  await fleet.close();
});

test("an answer without a length that ends with its connection is whole", async (t) => {
  const upstream = await startUpstream((received) => {
    received.socket.end(goodHead(received, { connection: "close" }) + "all");
  });
  const fleet = await startGateway({ upstreams: [upstream] });
  const seen = await sendRequest(fleet.url);
  t.deepEqual([seen.status, seen.body, seen.isWhole], [200, "all", true]);
  await fleet.close();
});

test("an answer that names another request is not given to the caller", async (t) => {
  // A faulty upstream sends a second copy of an earlier answer where the next one
  // is due. The caller of the next request would read a stranger's answer.
  const upstream = await startUpstream((received) => {
    const head = goodHead(received, { id: "another", "content-length": 8 });
    received.socket.write(head + "stranger");
  });
  const fleet = await startGateway({
    upstreams: [upstream],
    route: { repeatability: "at-most-once" },
  });
  const seen = await sendRequest(fleet.url);
  t.is(seen.status, 502);
  t.notRegex(seen.body, /stranger/);
  t.is(upstream.received.length, 1);
  await fleet.close();
});

test("a request that an upstream did not run is refused as not run", async (t) => {
  const upstream = await startUpstream(({ socket }) => {
    socket.write(
      "HTTP/1.1 503 Busy\r\nnot-run: 1\r\ncontent-length: 0\r\n\r\n",
    );
  });
  const fleet = await startGateway({
    upstreams: [upstream],
    route: { repeatability: "at-most-once", maximumAttempts: 1 },
  });
  const seen = await sendRequest(fleet.url);
  t.is(seen.status, 503);
  t.truthy(seen.headers["retry-after"]);
  await fleet.close();
});
