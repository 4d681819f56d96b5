/** One server-sent event. */
export interface ServerSentEvent {
  /** Event type; `message` by default. */
  readonly name: string;
  readonly data: string;
}

const EVENT_END = /\r?\n\r?\n/;

/** Parses a byte stream into events; buffers an incomplete event. */
export class ServerSentEventParser {
  readonly #decoder = new TextDecoder();
  #buffer = "";

  /** Adds a chunk and returns the events that it completes. */
  feed(part: Uint8Array): ServerSentEvent[] {
    this.#buffer += this.#decoder.decode(part, { stream: true });
    const blocks = this.#buffer.split(EVENT_END);
    this.#buffer = blocks.pop()!;
    return blocks.map(parseEvent);
  }
}

function parseEvent(block: string): ServerSentEvent {
  let name = "message";
  const data: string[] = [];
  for (const line of block.split(/\r?\n/)) {
    if (line.startsWith("event:")) name = line.slice("event:".length).trim();
    if (line.startsWith("data:")) data.push(line.slice("data:".length).trim());
  }
  return { name, data: data.join("\n") };
}
