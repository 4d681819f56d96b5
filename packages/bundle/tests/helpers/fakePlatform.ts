import { Buffer } from "node:buffer";
import type { PlatformFetch, PlatformResponse } from "@wasabivane/bundle";

/** A fake platform and the URLs that it received. */
export interface FakePlatform {
  readonly request: PlatformFetch;
  readonly urls: URL[];
}

/** Creates a platform that gives the same response to every request. */
export function createFakePlatform(
  response: {
    status?: number;
    headers?: PlatformResponse["headers"];
    body?: string | Uint8Array;
  },
): FakePlatform {
  const { status = 200, headers = {}, body = "" } = response;
  const urls: URL[] = [];
  const request: PlatformFetch = (url) => {
    urls.push(url);
    return Promise.resolve({
      statusCode: status,
      headers,
      body: inChunks(Buffer.from(body)),
    });
  };
  return { request, urls };
}

/** Creates a request function that never responds. */
export function createUnresponsiveFetch(): PlatformFetch {
  return (_url, { signal }) =>
    new Promise((_resolve, reject) => {
      signal.addEventListener("abort", () => reject(signal.reason));
    });
}

async function* inChunks(bytes: Buffer): AsyncGenerator<Uint8Array> {
  const size = 4096;
  for (let start = 0; start < bytes.length; start += size) {
    yield await Promise.resolve(bytes.subarray(start, start + size));
  }
}
