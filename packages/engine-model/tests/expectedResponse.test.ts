import test from "ava";
import {
  expectedResponse,
  promptText,
  responseLength,
  tokenCountMarker,
} from "@wasabivane/engine-model";

test("answers differ by prompt, and a shorter one is the start of a longer", (t) => {
  const prompts = Array.from({ length: 200 }, (_, index) => `case ${index}`);
  const answers = prompts.map((prompt) => expectedResponse(prompt, 20));
  t.is(new Set(answers).size, prompts.length);
  t.true(expectedResponse("case 7", 50).startsWith(answers[7]!));
});

test("tokens of one answer differ, so that a missing one shows", (t) => {
  const tokens = expectedResponse("a case", 2_000).trim().split(" ");
  t.true(new Set(tokens).size > 1_990);
});

test("a mark in the prompt sets the length, the caller's maximum bounds it", (t) => {
  const prompt = promptText([
    { content: "Draft" },
    { content: [{ text: tokenCountMarker(300) }] },
  ]);
  t.is(responseLength(prompt), 300);
  t.is(responseLength(prompt, 100), 100);
  t.is(responseLength("unmarked"), responseLength("unmarked"));
});
