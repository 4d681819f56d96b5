import { Buffer } from "node:buffer";
import type { PlatformFetch, PlatformResponse } from "@wasabivane/bundle";

/** Answers as the platform would, and what was asked for. */
export interface FakePlatform {
  readonly request: PlatformFetch;
  readonly urls: URL[];
}

/** A platform that gives one answer to every read. */
export function createFakePlatform(
  answer: {
    status?: number;
    headers?: PlatformResponse["headers"];
    body?: string | Uint8Array;
  },
): FakePlatform {
  const { status = 200, headers = {}, body = "" } = answer;
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

/** A platform that takes the request and never answers. */
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
