import { SystemTimer } from "@wasabivane/common";
import test from "ava";
import {
  UpstreamConnections,
  type UpstreamListener,
} from "../src/upstreamConnections.ts";
import { startUpstream, waitUntil } from "./helpers/fleet.ts";
import { collectUncaughtErrors } from "./helpers/uncaughtErrors.ts";
import { callTo, createListener } from "./helpers/upstreamCalls.ts";

const HEAD = "HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\n";

/** Parts of a listener, with what the upstream sends before it resets. */
const PARTS = [
  ["shouldSend", ""],
  ["head", `${HEAD}ab`],
  ["data", `${HEAD}ab`],
  ["ended", `${HEAD}ab`],
  ["failed", HEAD],
] as const;

function createRecorder(onEnd: (outcome: string) => void): UpstreamListener {
  return createListener({
    ended: () => onEnd("ended"),
    failed: () => onEnd("failed"),
  });
}

for (const [part, text] of PARTS) {
  test.serial(`an error in \`${part}\` fails one call, and the next one succeeds`, async (t) => {
    // Guards against an error of one request that ends the process.
    const uncaught = collectUncaughtErrors(t);
    let isFirst = true;
    const upstream = await startUpstream(({ socket }) => {
      const bytes = isFirst ? text : `${HEAD}ab`;
      isFirst = false;
      socket.write(bytes, () => {
        if (bytes === HEAD) socket.resetAndDestroy();
      });
    });
    const errors: unknown[] = [];
    const connections = new UpstreamConnections({
      maximumConnections: () => 1,
      timer: new SystemTimer(),
      onError: (thrown) => errors.push(thrown),
    });
    t.teardown(async () => {
      await connections.close();
      upstream.close();
    });
    const call = callTo(upstream);
    const outcomes: string[] = [];
    connections.send(call, {
      ...createRecorder((outcome) => outcomes.push(outcome)),
      [part]: () => {
        throw new Error("An error of the test");
      },
    });
    await waitUntil(() => errors.length > 0 || uncaught.length > 0);
    isFirst = false;
    connections.send(
      call,
      createRecorder((outcome) => outcomes.push(outcome)),
    );
    await waitUntil(() => outcomes.includes("ended") || uncaught.length > 0);
    t.deepEqual(uncaught, []);
    t.is(errors.length, 1);
    const expected = part === "failed" ? ["ended"] : ["failed", "ended"];
    t.deepEqual(outcomes, expected);
  });
}
