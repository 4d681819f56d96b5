import type { AcceptedRequest } from "./acceptedRequest.ts";
import type { RequestService, ServedAnswer } from "./callerApi.ts";
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

  serve(request: AcceptedRequest): ServedAnswer {
    const exchange = new Exchange(request, {
      services: this.#services,
      onEnd: () => this.#exchanges.delete(exchange),
    });
    this.#exchanges.add(exchange);
    exchange.start();
    return {
      record: exchange.record,
      hangUp: () => exchange.cancel(problemOf("answer-late")),
    };
  }
}
