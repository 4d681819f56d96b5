/** Parameters of an armed fault. */
export interface FaultDetails {
  /** Response tokens sent before the fault. */
  readonly afterTokens: number;
  /** Delay of the response, for faults that delay it. */
  readonly delayMs: number;
}

interface ArmedFault extends FaultDetails {
  remaining: number;
}

/** Injects armed faults into the next requests. */
export class FaultInjector<Name extends string> {
  readonly #armed = new Map<Name, ArmedFault>();

  /** Arms a fault for the next `count` requests (default 1); 0 disarms it. */
  arm(name: Name, body: Record<string, unknown>): void {
    this.#armed.set(name, {
      remaining: numberOrDefault(body["count"], 1),
      afterTokens: numberOrDefault(body["afterTokens"], 0),
      delayMs: numberOrDefault(body["delayMs"], 0),
    });
  }

  /** Consumes one use of a fault; returns `undefined` if it is not armed. */
  consume(name: Name): FaultDetails | undefined {
    const fault = this.#armed.get(name);
    if (fault === undefined || fault.remaining <= 0) return undefined;
    fault.remaining--;
    return fault;
  }

  disarmAll(): void {
    this.#armed.clear();
  }
}

/** Returns a non-negative number from a control body, or the default. */
export function numberOrDefault<Default>(
  value: unknown,
  defaultValue: Default,
): number | Default {
  return typeof value === "number" && value >= 0 ? value : defaultValue;
}
