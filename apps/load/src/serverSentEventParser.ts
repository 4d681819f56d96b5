/** One server-sent event. */
export interface ServerSentEvent {
  /** `message` when the event names none. */
  readonly name: string;
  readonly data: string;
}

const EVENT_END = /\r?\n\r?\n/;

/** Cuts a byte stream into its events; a half event waits for its rest. */
export class ServerSentEventParser {
  readonly #decoder = new TextDecoder();
  #rest = "";

  /** The events that are complete with this part. */
  feed(part: Uint8Array): ServerSentEvent[] {
    this.#rest += this.#decoder.decode(part, { stream: true });
    const blocks = this.#rest.split(EVENT_END);
    this.#rest = blocks.pop()!;
    return blocks.map(readEvent);
  }
}

function readEvent(block: string): ServerSentEvent {
  let name = "message";
  const data: string[] = [];
  for (const line of block.split(/\r?\n/)) {
    if (line.startsWith("event:")) name = line.slice("event:".length).trim();
    if (line.startsWith("data:")) data.push(line.slice("data:".length).trim());
  }
  return { name, data: data.join("\n") };
}
