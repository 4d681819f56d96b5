/** Why an upstream gave no whole answer. */
export type UpstreamError =
  /** The connection was never opened: no byte left. */
  | { readonly kind: "refused"; readonly detail: string }
  /** The connection broke after bytes had left. */
  | { readonly kind: "broken"; readonly detail: string }
  /** The answer carries another dispatch's nonce. */
  | { readonly kind: "not-own"; readonly detail: string }
  /** The answer ended without its end mark, or went on after it. */
  | { readonly kind: "malformed"; readonly detail: string }
  /** The engine answered that it is full or broken; it has the request's bytes. */
  | { readonly kind: "refused-run"; readonly detail: string }
  /** The engine no longer knows the request that should resume. */
  | { readonly kind: "gone" }
  /** This side gave up: deadline, or the caller hung up. */
  | { readonly kind: "aborted" };

/** Sorts what the HTTP client threw by whether bytes can have left. */
export function upstreamErrorOf(
  thrown: unknown,
  { signal, isUnconnected }: { signal: AbortSignal; isUnconnected: boolean },
): UpstreamError {
  if (signal.aborted) return { kind: "aborted" };
  const { code, message } = thrown as { code?: string; message?: string };
  const detail = code ?? message ?? "unknown";
  return { kind: isUnconnected ? "refused" : "broken", detail };
}
