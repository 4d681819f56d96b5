import test from "ava";
import {
  expectedResponse,
  promptText,
  responseLength,
  tokenCountMarker,
} from "@wasabivane/engine-model";

test("responses differ by prompt, and a shorter one is a prefix of a longer one", (t) => {
  const prompts = Array.from({ length: 200 }, (_, index) => `case ${index}`);
  const responses = prompts.map((prompt) => expectedResponse(prompt, 20));
  t.is(new Set(responses).size, prompts.length);
  t.true(expectedResponse("case 7", 50).startsWith(responses[7]!));
});

test("tokens within a response differ, so that a missing token is detected", (t) => {
  const tokens = expectedResponse("a case", 2_000).trim().split(" ");
  t.true(new Set(tokens).size > 1_990);
});

test("a marker in the prompt sets the length, up to the maximum", (t) => {
  const prompt = promptText([
    { content: "Draft" },
    { content: [{ text: tokenCountMarker(300) }] },
  ]);
  t.is(responseLength(prompt), 300);
  t.is(responseLength(prompt, 100), 100);
  t.is(responseLength("unmarked"), responseLength("unmarked"));
});
