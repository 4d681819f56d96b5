import type { ServerResponse } from "node:http";
import type { StreamCut } from "./answerStream.ts";
import { type ShownAnswer, wholeBody } from "./chatShape.ts";

/** Options of {@link answerWhole}. */
export interface WholeAnswerOptions {
  readonly shown: ShownAnswer;
  readonly outgoing: ServerResponse;
  readonly cut?: StreamCut | undefined;
}

/** Sends an answer in one piece once it is finished; a lost one breaks the connection. */
export function answerWhole(
  { shown, outgoing, cut }: WholeAnswerOptions,
): void {
  const { answer, nonce } = shown;
  const stop = answer.read(() => {
    if (answer.state === "running") return;
    stop();
    if (answer.state !== "finished") return void outgoing.destroy();
    const body = wholeBody(shown);
    outgoing.writeHead(200, {
      "content-type": "application/json",
      "x-request-nonce": nonce,
    });
    if (cut === undefined) return void outgoing.end(body);
    const part = body.slice(0, Math.floor(body.length / 2));
    if (cut.kind === "truncate") outgoing.end(part);
    else outgoing.write(part, () => outgoing.destroy());
  });
  outgoing.on("close", stop);
}
