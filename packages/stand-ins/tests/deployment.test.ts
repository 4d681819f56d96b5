import test from "ava";
import { expectedResponse, tokenCountMarker } from "@wasabivane/engine-model";
import { startDeployment } from "@wasabivane/stand-ins";
import { sendChat } from "./helpers/chatClient.ts";

test("a deployment starts a working stand-in for each upstream", async (t) => {
  const running = await startDeployment({
    deployment: "cairo",
    timeScale: 100,
  });
  t.teardown(() => running.stop());
  t.is(running.engines.size, 13);
  t.is(running.plainServices.size, 3);
  t.true("press-advisor-13" in running.urls);
  t.true("field-desk-3" in running.urls);
  const prompt = `Diagnose ${tokenCountMarker(20)}`;
  const responses = await Promise.all(
    [...running.engines.keys()].map((upstream) =>
      sendChat(running.urls[upstream]!, { prompt })
    ),
  );
  const expected = expectedResponse(prompt, 20);
  t.true(responses.every(({ text, isDone }) => isDone && text === expected));
});
