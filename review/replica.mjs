/**
 * A replica as one process. It runs each request as PROTOCOL.md says, and reports
 * each run to the process that started it. The path names what is to be sent:
 * `.../plain/BYTES` or `.../stream/EVENTS`.
 */
import { createServer } from "node:http";
import process from "node:process";
import { plainBody, streamEvent } from "./bodies.mjs";

const LONG_BYTES = 1_000_000;
const CHUNK_BYTES = 65_536;
const options = JSON.parse(process.argv[2]);
const runs = new Set();

function report(message) {
  if (process.connected) process.send(message);
}

function rejected(response, status) {
  response.writeHead(status, { "x-not-executed": "1", "content-length": 0 });
  response.end();
}

function loadReport() {
  return `${runs.size},0,${options.slots}`;
}

function writeHead(response, id, { type, length }) {
  const headers = {
    "x-attempt-id": id,
    "x-response-seal": `${options.id}.${id}`,
    "x-load-report": loadReport(),
    "content-type": type,
  };
  const isUnframed = options.framing === "none";
  if (isUnframed) {
    // The answer has no length and ends with its connection.
    response.useChunkedEncodingByDefault = false;
    response.shouldKeepAlive = false;
  } else if (length !== undefined) headers["content-length"] = length;
  response.writeHead(200, headers);
}

/** Writes pieces with a pause between them, as long as the caller is there. */
function writePieces(response, pieces, gapMs) {
  const next = () => {
    if (response.destroyed) return;
    const piece = pieces.shift();
    if (piece === undefined) return void response.end();
    response.write(piece);
    setTimeout(next, gapMs);
  };
  next();
}

/** Sends a long answer as fast as the caller takes it. */
function sendLong(response, id, length) {
  writeHead(response, id, { type: "application/octet-stream", length });
  const chunk = plainBody(id, CHUNK_BYTES);
  let left = length;
  const next = () => {
    while (left > 0) {
      const piece = chunk.subarray(0, left);
      left -= piece.length;
      if (!response.write(piece)) return void response.once("drain", next);
    }
    response.end();
  };
  next();
}

function respond(request, response, id) {
  const [, kind, size] = /\/(plain|stream)\/(\d+)$/.exec(request.url) ?? [];
  if (kind === "stream") {
    const after = Number(request.headers["last-event-id"] ?? 0);
    const events = [];
    for (let at = after + 1; at <= Number(size); at++) {
      const event = streamEvent(id, at);
      events.push(options.hasComments ? `${event}: more\n\n` : event);
    }
    writeHead(response, id, { type: "text/event-stream" });
    return writePieces(response, events, options.eventMs);
  }
  if (Number(size) > LONG_BYTES) return sendLong(response, id, Number(size));
  const body = plainBody(id, Number(size));
  const half = Math.ceil(body.length / 2);
  const pieces = options.pieceMs === 0
    ? [body]
    : [body.subarray(0, half), body.subarray(half)];
  writeHead(response, id, { type: "text/plain", length: body.length });
  writePieces(response, pieces, options.pieceMs);
}

const server = createServer((request, response) => {
  if (request.url === "/healthz") {
    response.setHeader("x-instance", options.id);
    return void response.end();
  }
  const expected = request.headers["x-expect-instance"];
  if (expected !== undefined && expected !== options.id) {
    return rejected(response, 421);
  }
  const id = request.headers["x-attempt-id"];
  if (id === undefined) return rejected(response, 400);
  request.resume();
  request.once("end", () => {
    runs.add(id);
    report({
      kind: "run",
      id,
      replica: options.id,
      lastEventId: request.headers["last-event-id"],
    });
    response.once("close", () => runs.delete(id));
    setTimeout(() => respond(request, response, id), options.workMs);
  });
});
server.keepAliveTimeout = 15_000;
server.listen(options.port, options.ip, () => report({ kind: "listening" }));

process.on("message", (message) => {
  // The end of a replica that has been emptied: its process exits.
  if (message.kind === "exit") process.exit(0);
});
process.on("disconnect", () => process.exit(0));
