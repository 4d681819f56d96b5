import { Buffer } from "node:buffer";
import type { Bundle } from "@wasabivane/bundle";
import { asId } from "@wasabivane/common";
import type { IncomingRequest } from "@wasabivane/entry";

/** Creates a chat request of the bundle's first account. */
export function createChatRequest(
  bundle: Bundle,
  overrides: Partial<IncomingRequest> = {},
): IncomingRequest {
  const chat = {
    model: bundle.services.find(({ kind }) => kind === "model")!.models[0]!,
    messages: [{ role: "user", content: "When does school start?" }],
  };
  return {
    request: asId("r1"),
    bundle,
    account: bundle.clientAccounts[0]!,
    now: 1_000,
    method: "POST",
    path: "/v1/chat/completions",
    headers: {},
    body: Buffer.from(JSON.stringify(chat)),
    ...overrides,
  };
}
