import type { Buffer } from "node:buffer";
import { createServer, type Server, type ServerResponse } from "node:http";
import { err, ok, type Result } from "neverthrow";
import type { ListenError } from "./listenError.ts";
import { splitAddress } from "./peerChannel.ts";

const NOT_FOUND: PageAnswer = { status: 404 };
/** The address is needed only for the library to read the query. */
const BASE_URL = "http://host";

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
 * Listens at `ip:port` and answers GET under the path of a page.
 *
 * A web framework would serve the same: with it, a host takes a sixth of a second of a
 * small machine's processor at its start and 2 MB more, for the runtime's whole
 * `fetch` interface that comes with it.
 */
export function listenWith(
  page: Page,
  address: string,
): Promise<Result<Server, ListenError>> {
  const { ip, port } = splitAddress(address);
  const server = createServer((request, response) => {
    const url = new URL(request.url ?? "/", BASE_URL);
    const isAsked = request.method === "GET" && url.pathname === page.path;
    if (!isAsked) return send(response, NOT_FOUND);
    void answerWith(page, url.searchParams, response);
  });
  return new Promise((resolve) => {
    server.once("error", (error) => {
      resolve(err({ kind: "cannot-listen", detail: error.message }));
    });
    server.listen(port, ip, () => resolve(ok(server)));
  });
}

async function answerWith(
  page: Page,
  query: URLSearchParams,
  response: ServerResponse,
): Promise<void> {
  send(response, await page.answer(query));
}

function send(
  response: ServerResponse,
  { status, type, body = "" }: PageAnswer,
): void {
  response.statusCode = status;
  if (type !== undefined) response.setHeader("content-type", type);
  response.end(body);
}
