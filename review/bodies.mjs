/** What replicas answer; clients know it too, and so can check it. */
import { Buffer } from "node:buffer";

/** Returns the body of a plain answer to a request. */
export function plainBody(id, bytes) {
  const pattern = `${id}.`;
  const times = Math.ceil(bytes / pattern.length);
  return Buffer.from(pattern.repeat(times).slice(0, bytes));
}

/** Returns one event of a stream. */
export function streamEvent(id, at) {
  return `id: ${at}\ndata: ${id} ${at}\n\n`;
}

/** Returns the ids of the events in the body of a stream. */
export function eventIds(body) {
  return [...body.matchAll(/^id: (\d+)$/gm)].map(([, id]) => Number(id));
}
