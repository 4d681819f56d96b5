import { Buffer } from "node:buffer";
import {
  asId,
  ElapsedClock,
  type HostId,
  type Incarnation,
  type RequestId,
  type ServiceId,
  VirtualTimer,
} from "@wasabivane/common";
import { UpstreamDirectory } from "@wasabivane/admission";
import test from "ava";
import { createStreamOrigins } from "../src/createStreamOrigins.ts";
import type { PeerMessage } from "../src/peerMessage.ts";
import { ListConfirmation } from "../src/listConfirmation.ts";
import { PolicyState } from "../src/policyState.ts";
import type { StreamOrigins } from "../src/streamOrigins.ts";
import { buildEntry, buildPolicy, buildRoute } from "./helpers/fleet.ts";
import { PlainDialect } from "./helpers/plainDialect.ts";

const SERVICE = asId<ServiceId>("plans");
const BOUNDS = { revocationBound: 5_000, applyBound: 2_000 };
const CONFIRM_MS = 500;

/** A host that has just started, after all hosts were lost. */
class NewHost {
  readonly timer = new VirtualTimer();
  readonly directory = new UpstreamDirectory();
  readonly replies: PeerMessage[] = [];
  readonly #confirmation = new ListConfirmation({
    host: asId<HostId>("h0"),
    incarnation: asId<Incarnation>("1"),
    timer: this.timer,
    versions: () => ({ listRevision: 1, policyVersion: 1 }),
    isReading: () => true,
    readers: () => [],
    send: () => {},
    onNewer: () => {},
  });
  readonly origins: StreamOrigins;
  readonly #policies = new PolicyState({
    dialect: new PlainDialect(),
    bounds: BOUNDS,
  });
  readonly #elapsed = new ElapsedClock(this.timer);

  constructor() {
    this.origins = createStreamOrigins({
      host: asId<HostId>("h0"),
      directory: this.directory,
      policies: this.#policies,
      elapsed: this.#elapsed,
      timer: this.timer,
      isFirstStart: false,
      hosts: () => [asId<HostId>("h0"), asId<HostId>("h1")],
      send: (_, message) => void this.replies.push(message),
      confirmation: () => this.#confirmation,
    });
    this.#confirmation.setStoreCheck(() => Promise.resolve(true));
    this.directory.set(
      buildEntry("u", { address: "127.0.0.1:1", version: "new" }),
    );
  }

  adopt(timeout: number): void {
    const policy = buildPolicy({
      version: 1,
      routes: [buildRoute({ timeout })],
    });
    const confirmedAt = this.#elapsed.now();
    const bytes = Buffer.from(JSON.stringify(policy));
    this.#policies.adopt(bytes, { confirmedAt, revision: 1 });
  }

  /** Runs for a time in which the list is current. */
  run(span: number): void {
    for (let passed = 0; passed < span; passed += CONFIRM_MS) {
      const proof = { confirmedAt: this.#elapsed.now(), revision: 1 };
      this.#policies.confirm(proof);
      this.origins.tick();
      this.timer.advance(CONFIRM_MS);
    }
  }

  /** Returns the version that this host tells a peer for a stream. */
  async tell(): Promise<string | undefined> {
    this.origins.reply({
      host: asId<HostId>("h1"),
      request: asId<RequestId>("take-up"),
      resumes: asId<RequestId>("q"),
      service: SERVICE,
    });
    await new Promise((resolve) => setImmediate(resolve));
    const message = this.replies.pop();
    return message?.kind === "origin"
      ? message.reply.origin?.softwareVersion
      : undefined;
  }
}

test("a host without a policy tells no version of streams that began before", async (t) => {
  // Guards against a stream of a version that has just left, continued at another.
  const host = new NewHost();
  host.timer.advance(100);
  t.is(await host.tell(), undefined);
});

test("a shorter response time does not shorten how long streams are looked back for", async (t) => {
  // Guards against the same where callers took the stream up more than once.
  const host = new NewHost();
  host.adopt(2_000);
  host.run(10_000);
  t.is(await host.tell(), undefined);
});

test("a host knows the only version once no stream can have begun before its start", async (t) => {
  const host = new NewHost();
  host.adopt(2_000);
  host.run(120_000);
  t.is(await host.tell(), "new");
});
