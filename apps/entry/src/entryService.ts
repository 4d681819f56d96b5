import type { ServerResponse } from "node:http";
import type { AcceptedRequest } from "./acceptedRequest.ts";
import { relayUntilClosed, type RequestService } from "./callerApi.ts";
import { Exchange, type ExchangeServices } from "./exchange.ts";
import { problemOf } from "./problem.ts";

/** Serves requests that carry no idempotency key: only this process ever knows them. */
export class EntryService implements RequestService {
  readonly #services: ExchangeServices;
  readonly #exchanges = new Set<Exchange>();

  constructor(services: ExchangeServices) {
    this.#services = services;
  }

  /** Exchanges that have not ended. */
  get openExchanges(): number {
    return this.#exchanges.size;
  }

  async serve(
    request: AcceptedRequest,
    outgoing: ServerResponse,
  ): Promise<void> {
    const exchange = new Exchange(request, { services: this.#services });
    this.#exchanges.add(exchange);
    exchange.start();
    await relayUntilClosed({
      record: exchange.record,
      outgoing,
      onHangUp: () => exchange.cancel(problemOf("answer-late")),
    });
    this.#exchanges.delete(exchange);
  }
}
