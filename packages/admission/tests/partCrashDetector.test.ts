import { asId, type Digest, type UpstreamId } from "@wasabivane/common";
import {
  type PartConviction,
  type PartCrash,
  PartCrashDetector,
  type SoftwareVersion,
} from "@wasabivane/admission";
import test from "ava";

const VERSION = asId<SoftwareVersion>("v1");
const RUN_MS = 100;
const STEP_MS = 125;
const QUARANTINE_MS = 60_000;

interface CrashChanges extends Partial<Omit<PartCrash, "parts">> {
  readonly isOwn?: boolean;
}

/** A detector, and a time that goes on with each crash. */
class Fixture {
  now = 100_000;
  isAlone = false;
  trialDelay = 0;
  readonly convicted: PartConviction[] = [];
  readonly detector = new PartCrashDetector({
    isAlone: () => this.isAlone,
    trialDelay: () => this.trialDelay,
    onEvidence: () => {},
    onConviction: (conviction) => this.convicted.push(conviction),
  });
  #crashes = 0;

  /** An upstream crashes under these requests, sent a moment before. */
  crash(requests: readonly string[][], changes: CrashChanges = {}): void {
    const { isOwn = true, ...rest } = changes;
    this.now += STEP_MS;
    this.#crashes++;
    for (const parts of requests) {
      const crash = this.build(parts, rest);
      this.detector.recordCrash(crash, { isOwn, now: this.now });
    }
    this.detector.assess(this.now);
  }

  build(
    parts: readonly string[],
    changes: Partial<Omit<PartCrash, "parts">> = {},
  ): PartCrash {
    return {
      upstream: asId<UpstreamId>(`u${this.#crashes}`),
      softwareVersion: VERSION,
      at: this.now,
      sentAt: this.now - RUN_MS,
      account: asId<Digest>("a"),
      parts: ids(parts),
      ...changes,
    };
  }

  complete(parts: readonly string[], softwareVersion = VERSION): void {
    this.now++;
    const completion = { at: this.now, softwareVersion };
    this.detector.recordOwnCompletion(ids(parts), completion);
  }

  /** Requests of other parts complete. */
  completeOthers(count = 40): void {
    for (let index = 0; index < count; index++) {
      this.complete(["all", `other-${index}`]);
    }
  }

  refuses(parts: readonly string[], account = "a"): boolean {
    return this.timeLeft(parts, account) > 0;
  }

  timeLeft(parts: readonly string[], account = "a"): number {
    const request = { account: asId<Digest>(account), parts: ids(parts) };
    return this.detector.quarantineLeft(request, this.now);
  }

  admit(parts: readonly string[]): void {
    const request = { account: asId<Digest>("a"), parts: ids(parts) };
    this.detector.recordAdmission(request, this.now);
  }
}

function ids(parts: readonly string[]): Digest[] {
  return parts.map((part) => asId<Digest>(part));
}

/** Returns a fixture in which a part has been convicted. */
function createConvicted(): Fixture {
  const fixture = new Fixture();
  fixture.completeOthers();
  for (let index = 0; index < 4; index++) {
    fixture.crash([["all", "bad", `document-${index}`]]);
    fixture.complete(["all", "sound"]);
  }
  return fixture;
}

test("a part at one crash after the other is refused, whatever the request holds", (t) => {
  // Guards against evidence that is kept by whole requests.
  const fixture = createConvicted();
  t.true(fixture.refuses(["bad"]));
  t.true(fixture.refuses(["new", "bad", "all"]));
  t.false(fixture.refuses(["all", "document-0"]));
});

test("parts that were at the same crashes and completed are served", (t) => {
  // Guards against a conviction of what sound requests share with the bad ones.
  const fixture = new Fixture();
  fixture.completeOthers();
  for (let index = 0; index < 8; index++) {
    fixture.crash([["all", "bad", "form"], ["all", "form", "document"]]);
    if (index % 3 === 0) fixture.complete(["all", "form", "document"]);
  }
  t.true(fixture.refuses(["all", "bad", "form"]));
  t.false(fixture.refuses(["all", "form", "document"]));
});

test("an outage of all upstreams convicts nothing", (t) => {
  // Guards against crashes of requests that were under way at once.
  const fixture = new Fixture();
  const sentAt = fixture.now;
  for (let index = 0; index < 12; index++) {
    fixture.crash([["all", "document"], ["all", "new"]], { sentAt });
  }
  t.deepEqual(fixture.convicted, []);
});

test("outages one after the other convict nothing that completed before", (t) => {
  // Guards against a part of all requests that is at each crash.
  const fixture = new Fixture();
  fixture.completeOthers();
  fixture.complete(["all", "document"]);
  for (let index = 0; index < 40; index++) {
    fixture.crash([["all", "document"], ["all", `own-${index}`]]);
  }
  t.deepEqual(fixture.convicted, []);
});

test("a host at which nothing has completed convicts nothing", (t) => {
  // Guards against a host that starts during outages, and blames what all share.
  const fixture = new Fixture();
  for (let index = 0; index < 20; index++) fixture.crash([["all", "document"]]);
  t.deepEqual(fixture.convicted, []);
});

test("a host at which few requests have completed refuses a bad part as well", (t) => {
  // Guards against hosts with little traffic that let each upstream crash.
  const fixture = new Fixture();
  fixture.completeOthers(5);
  for (let index = 0; index < 6; index++) fixture.crash([["all", "bad"]]);
  t.true(fixture.refuses(["all", "bad"]));
});

test("a new part is no suspect while most other requests break off as well", (t) => {
  // Guards against a conversation that met one outage after the other.
  const fixture = new Fixture();
  fixture.completeOthers();
  for (let index = 0; index < 9; index++) {
    const others = Array.from({ length: 6 }, (_, other) => [
      "all",
      `other-${index}-${other}`,
    ]);
    fixture.crash(others);
    if (index % 2 === 0) fixture.crash([["all", "conversation"], ...others]);
  }
  t.deepEqual(fixture.convicted, []);
});

test("parts that nobody has seen apart are refused together only", (t) => {
  // Guards against a sound part that is blamed for the one it came with.
  const fixture = new Fixture();
  fixture.completeOthers();
  for (let index = 0; index < 4; index++) fixture.crash([["bad", "company"]]);
  t.true(fixture.refuses(["bad", "company"]));
  t.false(fixture.refuses(["company"]));
  fixture.complete(["company"]);
  t.true(fixture.refuses(["bad"]));
});

test("requests with some of the refused parts go one at a time", (t) => {
  // Guards against many crashes until it is known which part is bad.
  const fixture = new Fixture();
  fixture.completeOthers();
  for (let index = 0; index < 4; index++) fixture.crash([["bad", "company"]]);
  fixture.admit(["bad"]);
  t.true(fixture.refuses(["bad"]));
  fixture.crash([["bad"]]);
  t.true(fixture.timeLeft(["bad"]) > QUARANTINE_MS / 2);
  t.false(fixture.refuses(["company"]));
});

test("crashes in one account's requests refuse another account's only after one of its own", (t) => {
  // Guards against an account that has another one's parts refused.
  const fixture = createConvicted();
  t.false(fixture.refuses(["bad"], "b"));
  fixture.crash([["bad"]], { account: asId<Digest>("b") });
  t.true(fixture.refuses(["bad"], "b"));
  t.true(fixture.refuses(["bad"], "c"));
});

test("a completion at another software version clears nothing", (t) => {
  const fixture = createConvicted();
  fixture.complete(["bad"], asId<SoftwareVersion>("v2"));
  t.true(fixture.refuses(["bad"]));
  fixture.complete(["bad"]);
  t.false(fixture.refuses(["bad"]));
});

test("a part that completed once is refused when it crashes upstreams from then on", (t) => {
  const fixture = new Fixture();
  fixture.completeOthers();
  fixture.complete(["bad"]);
  for (let index = 0; index < 8; index++) {
    fixture.crash([["all", "bad"]]);
    fixture.completeOthers(3);
  }
  t.true(fixture.refuses(["all", "bad"]));
});

test("after the quarantine one request is let through, and a crash doubles it", (t) => {
  // Guards against all hosts that try a bad part again at once.
  const fixture = createConvicted();
  fixture.trialDelay = 2_000;
  fixture.now += QUARANTINE_MS + 1;
  t.true(fixture.refuses(["bad"]), "another host is first");
  fixture.now += 2_000;
  t.false(fixture.refuses(["bad"]));
  fixture.admit(["bad"]);
  t.true(fixture.refuses(["bad"]), "one request is under way");
  fixture.crash([["bad"]]);
  t.true(fixture.timeLeft(["bad"]) > QUARANTINE_MS);
});

test("a host that knows a part to be sound does not adopt its conviction", (t) => {
  // Guards against one host's mistake that all hosts make.
  const fixture = createConvicted();
  const other = new Fixture();
  other.complete(["bad"]);
  const [conviction] = fixture.convicted;
  t.false(other.detector.applyConviction(conviction!));
  const [objection] = other.detector.objectionsTo(conviction!);
  t.true(fixture.detector.recordCompletion(objection!));
  t.false(fixture.refuses(["bad"]));
});

test("a conviction outlasts a flood of new parts at crashes", (t) => {
  // Guards against tables that grow, or forget, with what anyone can send.
  const fixture = createConvicted();
  for (let index = 0; index < 300; index++) {
    const parts = Array.from({ length: 30 }, (_, part) => `${index}-${part}`);
    fixture.crash([parts]);
  }
  t.true(fixture.refuses(["bad"]));
});

test("a host that hears no peers needs fewer crashes", (t) => {
  // Guards against hosts apart that each wait for crashes of their own.
  const fixture = new Fixture();
  fixture.isAlone = true;
  fixture.completeOthers(60);
  fixture.crash([["all", "bad"]]);
  fixture.complete(["all"]);
  fixture.crash([["all", "bad"]]);
  t.true(fixture.refuses(["bad"]));
});
