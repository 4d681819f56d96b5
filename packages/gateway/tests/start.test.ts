import { connect } from "node:net";
import test from "ava";
import {
  ask,
  goodHead,
  startGateway,
  startUpstream,
  until,
} from "./helpers/fleet.ts";

/** Whether something listens at `ip:port`. */
function isOpen(address: string): Promise<boolean> {
  const [host, port] = address.split(":");
  return new Promise((resolve) => {
    const socket = connect(Number(port), host!);
    socket.once("connect", () => {
      socket.destroy();
      resolve(true);
    });
    socket.once("error", () => resolve(false));
  });
}

test("a host that starts serves callers before it lets operators in", async (t) => {
  // All hosts were killed and every caller comes back at once. On a small machine the
  // libraries of the operators' ports take most of a second to load; loaded first, they
  // would keep the host from its first reading, and callers from any answer.
  const upstream = await startUpstream((received) => {
    received.socket.write(goodHead(received, { "content-length": 2 }) + "ok");
  });
  let open = (): void => {};
  const operatorsAfter = new Promise<void>((resolve) => (open = resolve));
  const fleet = await startGateway({ upstreams: [upstream], operatorsAfter });
  await until(() => fleet.lines.some(({ event }) => event === "started"));
  t.is((await ask(fleet.url)).status, 200);
  t.false(await isOpen(fleet.readiness));
  open();
  while (!await isOpen(fleet.readiness)) {
    await new Promise((resolve) => setTimeout(resolve, 10));
  }
  await fleet.close();
});
