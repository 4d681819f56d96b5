import { fileURLToPath } from "node:url";
import test from "ava";
import { parseDocument, readDocument } from "@wasabivane/bundle";
import { standInSettingsSchema, startStandIns } from "@wasabivane/stand-ins";

const EXAMPLE = fileURLToPath(
  new URL("../examples/stand-ins.jsonc", import.meta.url),
);

test("the example settings are valid and their stand-ins start", async (t) => {
  const settings = readDocument(EXAMPLE, standInSettingsSchema)
    ._unsafeUnwrap();
  const onFreePorts = settings.standIns.map((standIn) => ({
    ...standIn,
    port: 0,
  }));
  const started = await startStandIns({ ...settings, standIns: onFreePorts });
  const standIns = started._unsafeUnwrap();
  t.teardown(() => Promise.all(standIns.map(({ standIn }) => standIn.stop())));
  t.deepEqual(
    standIns.map(({ name }) => name),
    ["drafter-01", "drafter-02", "casefile-1", "platform"],
  );
  const usedPort = Number(new URL(standIns[0]!.url).port);
  const conflicting = await startStandIns({
    ...settings,
    standIns: [{ ...onFreePorts[0]!, port: usedPort }],
  });
  t.is(conflicting._unsafeUnwrapErr().name, "drafter-01");
});

test("an unknown key is reported with its line, path and the allowed keys", (t) => {
  const text = `{
    "standIns": [
      { "kind": "plain", "name": "casefile-1", "port": 0, "runsMs": 5 }
    ]
  }`;
  const [error] = parseDocument(text, standInSettingsSchema, {
    file: "stand-ins.jsonc",
  })._unsafeUnwrapErr();
  t.like(error, { line: 3, path: "standIns[0].runsMs" });
  t.regex(error!.allowed, /runMs/);
});
