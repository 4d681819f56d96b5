import { statSync } from "node:fs";
import test from "ava";
import { BundleToolFixture } from "./helpers/bundleToolFixture.ts";

const MEMBER = '"region": "kyushu"';

test("a bundle goes from init over check and sign to verify", async (t) => {
  const bench = new BundleToolFixture(t);
  const bundle = bench.path("bundle.jsonc");
  const signed = bench.path("signed.json");
  const { key, trust } = await bench.makeKey("ops-1");
  const runs = [
    await bench.run("init", "--deployment", "cairo", "--out", bundle),
    await bench.run("check", bundle),
    await bench.run(
      "sign",
      bundle,
      "--key",
      key,
      "--key-id",
      "ops-1",
      "--out",
      signed,
    ),
    await bench.run("check", signed),
    await bench.run("verify", signed, "--trust", trust, "--json"),
  ];
  t.deepEqual(runs.map(({ exitCode }) => exitCode), [0, 0, 0, 0, 0]);
  t.like(JSON.parse(runs[4]!.stdout), {
    isTrusted: true,
    deployment: "cairo",
    version: 1,
    keyIds: ["ops-1"],
  });
  t.is(statSync(key).mode & 0o077, 0);
});

test("during a change of keys a second signature is added", async (t) => {
  const bench = new BundleToolFixture(t);
  const former = await bench.makeKey("former");
  const next = await bench.makeKey("next");
  const bundle = bench.writeBundle("bundle.jsonc");
  const [once, twice] = [bench.path("once.json"), bench.path("twice.json")];
  await bench.run(
    "sign",
    bundle,
    "--key",
    former.key,
    "--key-id",
    "former",
    "--out",
    once,
  );
  await bench.run(
    "sign",
    once,
    "--key",
    next.key,
    "--key-id",
    "next",
    "--out",
    twice,
  );
  t.is((await bench.run("verify", once, "--trust", next.trust)).exitCode, 1);
  t.is((await bench.run("verify", twice, "--trust", next.trust)).exitCode, 0);
  t.is((await bench.run("verify", twice, "--trust", former.trust)).exitCode, 0);
});

test("an altered bundle is neither verified nor signed again", async (t) => {
  const bench = new BundleToolFixture(t);
  const { key, trust } = await bench.makeKey("ops-1");
  const bundle = bench.writeBundle("bundle.jsonc");
  const signed = bench.path("signed.json");
  await bench.run(
    "sign",
    bundle,
    "--key",
    key,
    "--key-id",
    "ops-1",
    "--out",
    signed,
  );
  const altered = bench.write(
    "altered.json",
    bench.read("signed.json").replace(
      '"requestsPerSecond": 8',
      '"requestsPerSecond": 800',
    ),
  );
  const verified = await bench.run("verify", altered, "--trust", trust);
  t.is(verified.exitCode, 1);
  t.regex(verified.stdout, /altered after it was signed/);
  const again = await bench.run(
    "sign",
    altered,
    "--key",
    key,
    "--key-id",
    "ops-1",
  );
  t.is(again.exitCode, 1);
});

test("check names the place of a typo, and sign refuses it", async (t) => {
  const bench = new BundleToolFixture(t);
  const { key } = await bench.makeKey("ops-1");
  const bundle = bench.writeBundle("bundle.jsonc", {
    edit: (text) => text.replace(MEMBER, '"regoin": "kyushu"'),
  });
  const { exitCode, stdout } = await bench.run("check", bundle);
  t.is(exitCode, 1);
  t.regex(
    stdout,
    /bundle\.jsonc:9:34: failureDomains\[0\]\.regoin: Unknown key .*did you mean "region"\?/,
  );
  const signing = await bench.run(
    "sign",
    bundle,
    "--key",
    key,
    "--key-id",
    "ops-1",
  );
  t.is(signing.exitCode, 1);
  t.is(signing.stderr, "");
});

test("diff lists changed values and exits as diff does", async (t) => {
  const bench = new BundleToolFixture(t);
  const former = bench.writeBundle("former.jsonc");
  const later = bench.writeBundle("later.jsonc", {
    edit: (text) =>
      text.replace('"version": 1', '"version": 2')
        .replace("127.0.0.1:7105", "127.0.0.1:7999"),
  });
  const same = await bench.run("diff", former, former);
  t.deepEqual([same.exitCode, same.stdout], [0, ""]);
  const { exitCode, stdout } = await bench.run("diff", former, later);
  t.is(exitCode, 1);
  t.is(
    stdout,
    "~ scalars\n    version: 1 -> 2\n" +
      '~ upstream/drafter-05\n    url: "http://127.0.0.1:7105" -> "http://127.0.0.1:7999"\n',
  );
});

test("explain tells tier, limits and upstreams, or why a request is refused", async (t) => {
  const bench = new BundleToolFixture(t);
  const bundle = bench.writeBundle("bundle.jsonc");
  const ask = ["explain", bundle, "--json", "--account", "oita-law-office"];
  const granted = await bench.run(...ask, "--path", "/casefile/12");
  const { upstreams, ...rest } = JSON.parse(granted.stdout);
  t.like(rest, {
    service: "casefile",
    isDefaultTier: true,
    isIdempotent: false,
  });
  t.is(upstreams.length, 3);
  t.is(rest.tier.tier, 3);
  const refused = await bench.run(...ask, "--model", "drafter", "--tier", "1");
  t.is(refused.exitCode, 1);
  t.is(JSON.parse(refused.stdout).refusal.kind, "tier-not-allowed");
  const unknown = await bench.run(...ask, "--model", "darfter");
  t.regex(JSON.parse(unknown.stdout).refusal.allowed, /did you mean "drafter"/);
});

test("a wrong command line is told without a stack trace", async (t) => {
  const bench = new BundleToolFixture(t);
  const bundle = bench.writeBundle("bundle.jsonc");
  const lines = [
    [],
    ["chek", bundle],
    ["check"],
    ["check", bundle, "--jsn"],
    ["check", bundle, bundle],
    ["init", "--deployment", "osaka"],
    ["explain", bundle, "--account", "a"],
    ["explain", bundle, "--account", "a", "--model", "m", "--tier", "one"],
    ["verify", bundle],
  ];
  for (const line of lines) {
    const { exitCode, stdout, stderr } = await bench.run(...line);
    t.deepEqual([exitCode, stdout], [2, ""], line.join(" "));
    t.notRegex(stderr, /\n\s+at /);
  }
});

test("files that are absent, no key or there already are told", async (t) => {
  const bench = new BundleToolFixture(t);
  const { key, trust } = await bench.makeKey("ops-1");
  const bundle = bench.writeBundle("bundle.jsonc");
  const runs = [
    await bench.run("check", bench.path("absent.jsonc")),
    await bench.run("sign", bundle, "--key", trust, "--key-id", "a"),
    await bench.run(
      "sign",
      bundle,
      "--key",
      bench.path("absent"),
      "--key-id",
      "a",
    ),
    await bench.run("verify", bundle, "--trust", bundle),
    await bench.run("keygen", "--out", key),
    await bench.run("init", "--deployment", "cairo", "--out", bundle),
  ];
  t.deepEqual(runs.map(({ exitCode }) => exitCode), [1, 1, 1, 1, 1, 1]);
  t.true(runs.every(({ stdout }) => stdout.includes("allowed: ")));
});
