import type { ResetDetector } from "@wasabivane/common";
import { DecoratorHandler, type Dispatcher } from "undici";

/**
 * Lets responses fail whose connection was reset, also those without a length,
 * which the HTTP library takes for complete.
 */
export function failResets(
  detector: ResetDetector,
): Dispatcher.DispatcherComposeInterceptor {
  return (dispatch) => (options, handler) =>
    dispatch(options, new ResetGuard(handler, detector));
}

interface ResponseEndHandler {
  onResponseEnd(
    controller: Dispatcher.DispatchController,
    trailers: Record<string, string>,
  ): void;
  onResponseError(
    controller: Dispatcher.DispatchController,
    error: Error,
  ): void;
}

/** The library's declaration of the class lacks its methods. */
const Decorator = DecoratorHandler as unknown as new (
  handler: Dispatcher.DispatchHandler,
) => ResponseEndHandler;

class ResetGuard extends Decorator {
  readonly #detector: ResetDetector;

  constructor(handler: Dispatcher.DispatchHandler, detector: ResetDetector) {
    super(handler);
    this.#detector = detector;
  }

  override onResponseEnd(
    controller: Dispatcher.DispatchController,
    trailers: Record<string, string>,
  ): void {
    if (!this.#detector.isReset) {
      return super.onResponseEnd(controller, trailers);
    }
    const error = new Error("The connection was reset");
    super.onResponseError(controller, error);
  }
}
