/** The platform's store: reads and watches, as PROTOCOL.md says. */
import { Buffer } from "node:buffer";
import { createServer } from "node:http";

export class Store {
  #items = new Map();
  #events = [];
  #revision = 1;
  #watches = new Set();
  #server = createServer((request, response) => this.#serve(request, response));

  async start(ip) {
    await new Promise((resolve) => this.#server.listen(0, ip, resolve));
    return `${ip}:${this.#server.address().port}`;
  }

  close() {
    this.#server.close();
    this.#server.closeAllConnections();
  }

  /** Writes an item, or removes it without a value; returns the revision. */
  write(key, value) {
    const revision = ++this.#revision;
    if (value === undefined) {
      this.#items.delete(key);
      this.#events.push({ key, revision, removed: true });
    } else {
      const created = this.#items.get(key)?.created ?? revision;
      const text = Buffer.from(JSON.stringify(value)).toString("base64");
      const item = { key, value: text, revision, created, lease: 0 };
      this.#items.set(key, item);
      this.#events.push(item);
    }
    for (const watch of [...this.#watches]) watch();
    return revision;
  }

  #serve(request, response) {
    const url = new URL(request.url, "http://store");
    const query = url.searchParams;
    const send = (status, body) => {
      const text = JSON.stringify({ ...body, storeRevision: this.#revision });
      response.writeHead(status, {
        "content-type": "application/json",
        "content-length": Buffer.byteLength(text),
      });
      response.end(text);
    };
    if (url.pathname === "/kv-key") {
      const item = this.#items.get(query.get("key"));
      return item === undefined ? send(404, {}) : send(200, item);
    }
    const prefix = query.get("prefix") ?? "";
    if (url.pathname === "/kv-range") {
      const after = query.get("after") ?? "";
      const items = [...this.#items.values()]
        .filter(({ key }) => key.startsWith(prefix) && key > after)
        .sort((left, right) => left.key < right.key ? -1 : 1);
      return send(200, { items, hasMore: false });
    }
    if (url.pathname !== "/kv-watch") return send(404, {});
    const after = Number(query.get("after"));
    const find = () =>
      this.#events.filter(({ key, revision }) =>
        key.startsWith(prefix) && revision > after
      );
    const answer = () => {
      clearTimeout(timeout);
      this.#watches.delete(check);
      send(200, { events: find() });
    };
    const check = () => {
      if (find().length > 0) answer();
    };
    const timeout = setTimeout(answer, Number(query.get("waitMs")));
    this.#watches.add(check);
    response.once("close", () => {
      clearTimeout(timeout);
      this.#watches.delete(check);
    });
    check();
  }
}
