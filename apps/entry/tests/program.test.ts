import { once } from "node:events";
import { mkdtempSync, readdirSync, rmSync, writeFileSync } from "node:fs";
import { type AddressInfo, createServer } from "node:net";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { fileURLToPath } from "node:url";
import test, { type ExecutionContext } from "ava";
import { runEntryProgram } from "@wasabivane/entry";
import { fixtureSettings } from "./helpers/entryFixture.ts";

const EXAMPLES = fileURLToPath(new URL("../../../examples/", import.meta.url));
const NO_PLATFORM = "http://127.0.0.1:9";

interface ProgramRun {
  readonly exitCode: number;
  readonly stdout: string;
  readonly stderr: string;
}

async function run(
  args: readonly string[],
  whenStopped: () => Promise<unknown> = () => Promise.resolve(),
): Promise<ProgramRun> {
  let stdout = "";
  let stderr = "";
  const exitCode = await runEntryProgram({
    argv: ["node", "wasabivane-entry", ...args],
    version: "1.2.3",
    whenStopped,
    output: {
      write: (text) => void (stdout += text),
      writeError: (text) => void (stderr += text),
    },
  });
  return { exitCode, stdout, stderr };
}

function settingsFile(t: ExecutionContext, text: string): string {
  const folder = mkdtempSync(join(tmpdir(), "wasabivane-"));
  t.teardown(() => rmSync(folder, { recursive: true }));
  const file = join(folder, "entry.jsonc");
  writeFileSync(file, text);
  return file;
}

for (const deployment of ["fukuoka", "cairo"]) {
  const folder = join(EXAMPLES, deployment);
  const files = readdirSync(folder).filter((name) => name.startsWith("entry-"));
  for (const name of files) {
    test(`check accepts the example ${deployment}/${name}`, async (t) => {
      const file = join(folder, name);
      const { exitCode, stdout, stderr } = await run([
        "check",
        "--settings",
        file,
      ]);
      t.is(exitCode, 0);
      t.is(stdout, `${file}: The settings are valid\n`);
      t.is(stderr, "");
    });
  }
}

const BROKEN: Readonly<
  Record<string, { edit: (text: string) => string; says: RegExp }>
> = {
  "a typo in a key": {
    edit: (text) => text.replace('"logLevel"', '"logLevle"'),
    says:
      /entry\.jsonc:\d+:\d+: \$?\.?logLevle: Unknown key "logLevle"; allowed: .*logLevel/,
  },
  "a port out of range": {
    edit: (text) => text.replace('"port": 0', '"port": 70000'),
    says:
      /entry\.jsonc:\d+:\d+: .*callers\.port: 70000 is not allowed; allowed: at most 65535/,
  },
  "a missing host": {
    edit: (text) => text.replace(/"host": "entry-1",/, ""),
    says: /entry\.jsonc:\d+:\d+: .*host: Missing value; allowed: /,
  },
  "a missing closing brace": {
    edit: (text) => text.slice(0, text.lastIndexOf("}")),
    says: /entry\.jsonc:\d+:\d+: .*; allowed: /,
  },
};

for (const [name, { edit, says }] of Object.entries(BROKEN)) {
  test(`settings with ${name} are reported with file, line, path and allowed values`, async (t) => {
    const text = JSON.stringify(fixtureSettings(NO_PLATFORM), undefined, 2);
    const file = settingsFile(t, edit(text));
    const checked = await run(["check", "--settings", file]);
    t.is(checked.exitCode, 1);
    t.regex(checked.stdout, says);
    const json = await run(["check", "--json", "--settings", file]);
    t.is(json.exitCode, 1);
    t.is(JSON.parse(json.stdout).errors[0].file, file);
    const served = await run(["--settings", file]);
    t.is(served.exitCode, 1);
    t.is(served.stdout, "");
    t.regex(served.stderr, says);
  });
}

test("a missing settings file is reported", async (t) => {
  const { exitCode, stdout } = await run(["check", "--settings", "none.jsonc"]);
  t.is(exitCode, 1);
  t.regex(stdout, /none\.jsonc: Cannot read the file \(ENOENT\)/);
});

test("an invalid command line exits with the usage code", async (t) => {
  for (const args of [[], ["check"], ["chekc"], ["--setings", "a"]]) {
    const { exitCode, stderr } = await run(args);
    t.is(exitCode, 2, args.join(" "));
    t.regex(stderr, /wasabivane-entry --help/);
  }
});

test("the version is printed", async (t) => {
  t.is((await run(["--version"])).exitCode, 0);
});

test("a started host prints its ports and exits with 0 when stopped", async (t) => {
  const text = JSON.stringify(fixtureSettings(NO_PLATFORM));
  const { exitCode, stdout, stderr } = await run([
    "--settings",
    settingsFile(t, text),
  ]);
  t.is(exitCode, 0);
  t.is(stderr, "");
  const started = JSON.parse(stdout);
  t.is(started.host, "entry-1");
  t.true(started.callerPort > 0 && started.operatorPort > 0);
});

test("a host whose port is in use reports it and exits", async (t) => {
  const holder = createServer();
  holder.listen(0, "127.0.0.1");
  await once(holder, "listening");
  t.teardown(() => void holder.close());
  const { port } = holder.address() as AddressInfo;
  for (const name of ["callers", "operators", "peers"]) {
    const settings = fixtureSettings(NO_PLATFORM, {
      [name]: name === "peers"
        ? { port, secrets: ["secret-of-the-bench"] }
        : { port },
    });
    const file = settingsFile(t, JSON.stringify(settings));
    const { exitCode, stdout, stderr } = await run(["--settings", file]);
    t.is(exitCode, 1);
    t.is(stdout, "");
    t.regex(stderr, /EADDRINUSE/);
  }
});

test("an unreadable certificate is reported", async (t) => {
  const tls = { certificateFile: "none.pem", keyFile: "none.pem" };
  for (const name of ["callers", "peers"]) {
    const settings = fixtureSettings(NO_PLATFORM, {
      [name]: {
        port: 0,
        tls,
        ...(name === "peers" ? { secrets: ["secret-of-the-bench"] } : {}),
      },
    });
    const file = settingsFile(t, JSON.stringify(settings));
    const { exitCode, stderr } = await run(["--settings", file]);
    t.is(exitCode, 1);
    t.regex(stderr, /none\.pem/);
  }
});
