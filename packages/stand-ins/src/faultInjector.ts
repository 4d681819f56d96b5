/** How a fault that was armed strikes. */
export interface FaultDetails {
  /** Answer tokens that still go out before the fault. */
  readonly afterTokens: number;
  /** For faults that delay. */
  readonly delayMs: number;
}

interface ArmedFault extends FaultDetails {
  remaining: number;
}

/** Faults that strike a number of coming requests, by name. */
export class FaultInjector<Name extends string> {
  readonly #armed = new Map<Name, ArmedFault>();

  /** Arms a fault for the next `count` requests; zero disarms it. */
  arm(name: Name, body: Record<string, unknown>): void {
    this.#armed.set(name, {
      remaining: numberOrDefault(body["count"], 1),
      afterTokens: numberOrDefault(body["afterTokens"], 0),
      delayMs: numberOrDefault(body["delayMs"], 0),
    });
  }

  /** Uses up one strike of a fault, if it is armed. */
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

/** A number from a control body, or what it is when the body says none. */
export function numberOrDefault<Other>(
  value: unknown,
  other: Other,
): number | Other {
  return typeof value === "number" && value >= 0 ? value : other;
}
