import { Buffer } from "node:buffer";

/** Reads a body; stops and returns `undefined` if it exceeds the limit. */
export async function readBoundedBody(
  body: AsyncIterable<Uint8Array>,
  maximumBytes: number,
): Promise<Buffer | undefined> {
  const chunks: Uint8Array[] = [];
  let bytes = 0;
  for await (const chunk of body) {
    bytes += chunk.byteLength;
    if (bytes > maximumBytes) return undefined;
    chunks.push(chunk);
  }
  return Buffer.concat(chunks);
}
