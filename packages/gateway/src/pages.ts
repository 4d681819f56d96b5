import type { Buffer } from "node:buffer";
import { createServer, type Server, type ServerResponse } from "node:http";
import type { Result } from "neverthrow";
import { listenAt } from "./listenAt.ts";
import type { ListenError } from "./listenError.ts";

const NOT_FOUND: PageAnswer = { status: 404 };
const FAILED: PageAnswer = { status: 500 };
const METHODS: readonly (string | undefined)[] = ["GET", "HEAD"];

/** What a {@link Page} answers. */
export interface PageAnswer {
  readonly status: number;
  readonly type?: string;
  readonly body?: string | Buffer;
}

/** What a port answers under one path. */
export interface Page {
  readonly path: string;
  readonly answer: (
    query: URLSearchParams,
  ) => PageAnswer | Promise<PageAnswer>;
}

/**
 * Listens at `ip:port` and answers GET and HEAD under the path of a page.
 *
 * A web framework would serve the same: with it, a host takes a sixth of a second of a
 * small machine's processor at its start and 2 MB more, for the runtime's whole
 * `fetch` interface that comes with it.
 */
export function listenWith(
  page: Page,
  address: string,
): Promise<Result<Server, ListenError>> {
  const server = createServer((request, response) => {
    // Anybody may write anything here: what is no path is only compared, never parsed.
    const [path, query] = (request.url ?? "").split("?", 2);
    const isAsked = METHODS.includes(request.method) && path === page.path;
    if (!isAsked) return send(response, NOT_FOUND);
    void answerWith(page, new URLSearchParams(query), response);
  });
  return listenAt(server, address);
}

async function answerWith(
  page: Page,
  query: URLSearchParams,
  response: ServerResponse,
): Promise<void> {
  try {
    send(response, await page.answer(query));
  } catch {
    send(response, FAILED);
  }
}

function send(
  response: ServerResponse,
  { status, type, body = "" }: PageAnswer,
): void {
  response.statusCode = status;
  if (type !== undefined) response.setHeader("content-type", type);
  response.end(body);
}
