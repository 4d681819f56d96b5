/** Response to a chat completions or resume request, as received. */
export interface ChatResponse {
  status: number;
  nonceHeader: string | null;
  ids: Set<string>;
  text: string;
  tokens: number;
  usage: Record<string, unknown> | undefined;
  /** Whether the done event was received. */
  isDone: boolean;
  /** Whether the connection closed before the response ended. */
  isBroken: boolean;
}

/** Options of {@link sendChat}. */
export interface ChatRequestOptions {
  nonce?: string;
  prompt: string;
  stream?: boolean;
  salt?: string;
  maximumTokens?: number;
}

/** Sends a chat completions request and reads the response. */
export function sendChat(
  url: string,
  { nonce = "n1", prompt, stream = true, salt, maximumTokens }:
    ChatRequestOptions,
): Promise<ChatResponse> {
  const body = {
    model: "drafter",
    messages: [{ role: "user", content: prompt }],
    stream,
    "cache_salt": salt,
    "max_tokens": maximumTokens,
  };
  return send(`${url}/v1/chat/completions`, { nonce, body });
}

/** Resumes a streamed response at a token offset. */
export function resumeChat(
  url: string,
  { nonce = "n1", offset }: { nonce?: string; offset: number },
): Promise<ChatResponse> {
  return send(`${url}/v1/requests/${nonce}/resume`, {
    nonce,
    body: { offset },
  });
}

/** Sends a POST request with a JSON body. */
export function postJson(
  url: string,
  body: Record<string, unknown> = {},
): Promise<Response> {
  return fetch(url, { method: "POST", body: JSON.stringify(body) });
}

/** Fetches and parses a JSON document. */
export async function getJson<Value>(url: string): Promise<Value> {
  return await (await fetch(url)).json() as Value;
}

async function send(
  url: string,
  { nonce, body }: { nonce: string; body: Record<string, unknown> },
): Promise<ChatResponse> {
  const received: ChatResponse = {
    status: 0,
    nonceHeader: null,
    ids: new Set(),
    text: "",
    tokens: 0,
    usage: undefined,
    isDone: false,
    isBroken: false,
  };
  let raw = "";
  try {
    const response = await fetch(url, {
      method: "POST",
      headers: { "x-request-nonce": nonce },
      body: JSON.stringify(body),
    });
    received.status = response.status;
    received.nonceHeader = response.headers.get("x-request-nonce");
    const decoder = new TextDecoder();
    for await (const part of response.body!) raw += decoder.decode(part);
  } catch {
    received.isBroken = true;
  }
  for (const line of raw.split("\n")) {
    if (line.startsWith("data: ")) applyEvent(received, line.slice(6));
  }
  if (!raw.startsWith("data:")) applyBody(received, raw);
  return received;
}

function applyEvent(received: ChatResponse, data: string): void {
  if (data === "[DONE]") {
    received.isDone = true;
    return;
  }
  const chunk = JSON.parse(data);
  received.ids.add(chunk.id);
  const content = chunk.choices[0].delta.content ?? "";
  received.text += content;
  if (content !== "") received.tokens++;
  received.usage ??= chunk.usage;
}

function applyBody(received: ChatResponse, raw: string): void {
  try {
    const completion = JSON.parse(raw);
    received.ids.add(completion.id);
    received.text = completion.choices[0].message.content;
    received.usage = completion.usage;
  } catch {
    // Truncated bodies leave the text empty.
  }
}
