import type { AcceptedRequest } from "./acceptedRequest.ts";
import type { RequestService, ServedResponse } from "./callerApi.ts";
import { Exchange, type ExchangeServices } from "./exchange.ts";
import { problemOf } from "./problem.ts";

/** Serves requests without an idempotency key, which no other host can know. */
export class UnkeyedRequestService implements RequestService {
  readonly #services: ExchangeServices;
  readonly #exchanges = new Set<Exchange>();

  constructor(services: ExchangeServices) {
    this.#services = services;
  }

  /** Number of exchanges that have not ended. */
  get openExchanges(): number {
    return this.#exchanges.size;
  }

  serve(request: AcceptedRequest): ServedResponse {
    const exchange = new Exchange(request, {
      services: this.#services,
      onEnd: () => this.#exchanges.delete(exchange),
    });
    this.#exchanges.add(exchange);
    exchange.start();
    return {
      response: exchange.response,
      handleDisconnect: () => exchange.cancel(problemOf("answer-late")),
    };
  }
}
