import type { Server } from "node:http";
import { Server as TcpServer } from "node:net";
import type { Milliseconds, Timer } from "@wasabivane/common";
import type { Result } from "neverthrow";
import { listenAt } from "./listenAt.ts";
import type { ListenError } from "./listenError.ts";
import { splitAddress } from "./peerChannel.ts";

const ACCEPT_BACKLOG = 1_024;
/** Time until a listener that could not be opened again is tried again. */
const REOPEN_RETRY_MS: Milliseconds = 20;

/** The listener of an HTTP server, whose accept queue can be emptied. */
export class CallerListener {
  readonly #server: Server;
  readonly #timer: Timer;
  #address = "";
  #isStopped = false;

  constructor(server: Server, timer: Timer) {
    this.#server = server;
    this.#timer = timer;
  }

  async listen(address: string): Promise<Result<void, ListenError>> {
    this.#address = address;
    const listening = await listenAt(this.#server, address, {
      backlog: ACCEPT_BACKLOG,
    });
    return listening.map(() => undefined);
  }

  /**
   * Resets all connections that wait to be accepted, at no cost for each, and
   * listens on. Accepted connections stay.
   */
  dropWaiting(): void {
    if (this.#isStopped) return;
    this.#close();
    this.#reopen();
  }

  /** Stops accepting connections; open ones are still served. */
  stop(): void {
    this.#isStopped = true;
    this.#server.close();
  }

  /** Unlike the HTTP server's own method, this leaves idle connections open. */
  #close(): void {
    TcpServer.prototype.close.call(this.#server);
  }

  #reopen(): void {
    if (this.#isStopped || this.#server.listening) return;
    const { ip, port } = splitAddress(this.#address);
    this.#server.once("error", this.#retry);
    this.#server.listen(port, ip, ACCEPT_BACKLOG, () => {
      this.#server.off("error", this.#retry);
    });
  }

  readonly #retry = (): void => {
    this.#timer.after(REOPEN_RETRY_MS, () => this.#reopen());
  };
}
