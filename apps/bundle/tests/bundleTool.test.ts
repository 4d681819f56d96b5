import { statSync } from "node:fs";
import test from "ava";
import { BundleToolFixture } from "./helpers/bundleToolFixture.ts";

const REGION_MEMBER = '"region": "kyushu"';

test("a bundle passes init, check, sign and verify", async (t) => {
  const tool = new BundleToolFixture(t);
  const bundle = tool.path("bundle.jsonc");
  const signed = tool.path("signed.json");
  const { key, trust } = await tool.makeKey("ops-1");
  const runs = [
    await tool.run("init", "--deployment", "cairo", "--out", bundle),
    await tool.run("check", bundle),
    await tool.run(
      "sign",
      bundle,
      "--key",
      key,
      "--key-id",
      "ops-1",
      "--out",
      signed,
    ),
    await tool.run("check", signed),
    await tool.run("verify", signed, "--trust", trust, "--json"),
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

test("a second signature is added during a key rotation", async (t) => {
  const tool = new BundleToolFixture(t);
  const former = await tool.makeKey("former");
  const next = await tool.makeKey("next");
  const bundle = tool.writeBundle("bundle.jsonc");
  const [once, twice] = [tool.path("once.json"), tool.path("twice.json")];
  await tool.run(
    "sign",
    bundle,
    "--key",
    former.key,
    "--key-id",
    "former",
    "--out",
    once,
  );
  await tool.run(
    "sign",
    once,
    "--key",
    next.key,
    "--key-id",
    "next",
    "--out",
    twice,
  );
  t.is((await tool.run("verify", once, "--trust", next.trust)).exitCode, 1);
  t.is((await tool.run("verify", twice, "--trust", next.trust)).exitCode, 0);
  t.is((await tool.run("verify", twice, "--trust", former.trust)).exitCode, 0);
});

test("an altered bundle is neither verified nor signed again", async (t) => {
  const tool = new BundleToolFixture(t);
  const { key, trust } = await tool.makeKey("ops-1");
  const bundle = tool.writeBundle("bundle.jsonc");
  const signed = tool.path("signed.json");
  await tool.run(
    "sign",
    bundle,
    "--key",
    key,
    "--key-id",
    "ops-1",
    "--out",
    signed,
  );
  const altered = tool.write(
    "altered.json",
    tool.read("signed.json").replace(
      '"requestsPerSecond": 8',
      '"requestsPerSecond": 800',
    ),
  );
  const verified = await tool.run("verify", altered, "--trust", trust);
  t.is(verified.exitCode, 1);
  t.regex(verified.stdout, /altered after it was signed/);
  const again = await tool.run(
    "sign",
    altered,
    "--key",
    key,
    "--key-id",
    "ops-1",
  );
  t.is(again.exitCode, 1);
});

test("check reports the position of a typo, and sign refuses the bundle", async (t) => {
  const tool = new BundleToolFixture(t);
  const { key } = await tool.makeKey("ops-1");
  const bundle = tool.writeBundle("bundle.jsonc", {
    edit: (text) => text.replace(REGION_MEMBER, '"regoin": "kyushu"'),
  });
  const { exitCode, stdout } = await tool.run("check", bundle);
  t.is(exitCode, 1);
  t.regex(
    stdout,
    /bundle\.jsonc:9:34: failureDomains\[0\]\.regoin: Unknown key .*did you mean "region"\?/,
  );
  const signing = await tool.run(
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
  const tool = new BundleToolFixture(t);
  const former = tool.writeBundle("former.jsonc");
  const later = tool.writeBundle("later.jsonc", {
    edit: (text) =>
      text.replace('"version": 1', '"version": 2')
        .replace("127.0.0.1:7105", "127.0.0.1:7999"),
  });
  const same = await tool.run("diff", former, former);
  t.deepEqual([same.exitCode, same.stdout], [0, ""]);
  const { exitCode, stdout } = await tool.run("diff", former, later);
  t.is(exitCode, 1);
  t.is(
    stdout,
    "~ scalars\n    version: 1 -> 2\n" +
      '~ upstream/drafter-05\n    url: "http://127.0.0.1:7105" -> "http://127.0.0.1:7999"\n',
  );
});

test("explain reports tier, limits and upstreams, or why a request is refused", async (t) => {
  const tool = new BundleToolFixture(t);
  const bundle = tool.writeBundle("bundle.jsonc");
  const args = ["explain", bundle, "--json", "--account", "oita-law-office"];
  const allowed = await tool.run(...args, "--path", "/casefile/12");
  const { upstreams, ...rest } = JSON.parse(allowed.stdout);
  t.like(rest, {
    service: "casefile",
    isDefaultTier: true,
    isIdempotent: false,
  });
  t.is(upstreams.length, 3);
  t.is(rest.tier.tier, 3);
  const refused = await tool.run(...args, "--model", "drafter", "--tier", "1");
  t.is(refused.exitCode, 1);
  t.is(JSON.parse(refused.stdout).refusal.kind, "tier-not-allowed");
  const unknown = await tool.run(...args, "--model", "darfter");
  t.regex(JSON.parse(unknown.stdout).refusal.allowed, /did you mean "drafter"/);
});

test("a wrong command line is reported without a stack trace", async (t) => {
  const tool = new BundleToolFixture(t);
  const bundle = tool.writeBundle("bundle.jsonc");
  const commandLines = [
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
  for (const args of commandLines) {
    const { exitCode, stdout, stderr } = await tool.run(...args);
    t.deepEqual([exitCode, stdout], [2, ""], args.join(" "));
    t.notRegex(stderr, /\n\s+at /);
  }
});

test("missing files, invalid keys and existing output files are reported", async (t) => {
  const tool = new BundleToolFixture(t);
  const { key, trust } = await tool.makeKey("ops-1");
  const bundle = tool.writeBundle("bundle.jsonc");
  const runs = [
    await tool.run("check", tool.path("absent.jsonc")),
    await tool.run("sign", bundle, "--key", trust, "--key-id", "a"),
    await tool.run(
      "sign",
      bundle,
      "--key",
      tool.path("absent"),
      "--key-id",
      "a",
    ),
    await tool.run("verify", bundle, "--trust", bundle),
    await tool.run("keygen", "--out", key),
    await tool.run("init", "--deployment", "cairo", "--out", bundle),
  ];
  t.deepEqual(runs.map(({ exitCode }) => exitCode), [1, 1, 1, 1, 1, 1]);
  t.true(runs.every(({ stdout }) => stdout.includes("allowed: ")));
});
