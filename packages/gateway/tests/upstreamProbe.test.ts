import { EventEmitter } from "node:events";
import {
  asId,
  type FailureDomain,
  SeededRandom,
  type ServiceId,
  type UpstreamId,
  VirtualTimer,
} from "@wasabivane/common";
import type { Upstream } from "@wasabivane/admission";
import { UpstreamProbe, type UpstreamState } from "@wasabivane/gateway";
import test from "ava";
import { err, ok } from "neverthrow";

function buildUpstream(name: string): Upstream {
  return {
    upstream: asId<UpstreamId>(name),
    name,
    bornAt: 0,
    service: asId<ServiceId>("plans"),
    address: asId(`${name}:1`),
    failureDomain: asId<FailureDomain>("west"),
    slots: 1,
    coldFor: 0,
    softwareVersion: asId("1"),
    isLeaving: false,
  };
}

/** Probes the upstream `u0`, of four, where only some names can be reached. */
function probe(
  reached: readonly string[],
  relay: "open" | "unreachable" | "no-relay",
): Promise<UpstreamState> {
  const upstreams = ["u0", "u1", "u2", "u3"].map(buildUpstream);
  const socket = Object.assign(new EventEmitter(), { destroy: () => {} });
  return new UpstreamProbe({
    timer: new VirtualTimer(),
    random: new SeededRandom(1),
    connectDirectly: ({ hostname }, callback) =>
      reached.includes(hostname)
        ? callback(null, socket as never)
        : callback(new Error("refused"), null),
    openRelay: () =>
      Promise.resolve(
        relay === "open" ? ok(socket as never) : err({ kind: relay }),
      ),
    upstreams: () => upstreams,
    isEjected: () => false,
    isLinkBroken: () => false,
  }).probe(upstreams[0]!);
}

test("an upstream that refuses connections is down if the host reaches another one", async (t) => {
  t.is(await probe(["u0"], "no-relay"), "up");
  t.is(await probe(["u2"], "no-relay"), "down");
});

test("a host that reaches no upstream takes none for crashed by itself", async (t) => {
  // Guards against crashes that are attributed to requests although the host has
  // lost its links.
  t.is(await probe([], "no-relay"), "unknown");
  t.is(await probe([], "open"), "up");
  t.is(await probe([], "unreachable"), "down");
});
