/** The reason why an upstream gave no complete response. */
export type UpstreamError =
  /** The connection was never established, so no byte was sent. */
  | { readonly kind: "refused"; readonly detail: string }
  /** The connection broke after bytes were sent. */
  | { readonly kind: "broken"; readonly detail: string }
  /** The response carries another dispatch's nonce. */
  | { readonly kind: "not-own"; readonly detail: string }
  /** The response violates the protocol or exceeds a size limit. */
  | { readonly kind: "malformed"; readonly detail: string }
  /** The engine received the request and refused to run it. */
  | { readonly kind: "refused-run"; readonly detail: string }
  /** The upstream no longer holds the request to resume. */
  | { readonly kind: "gone" }
  /** This host aborted: the deadline passed or the caller disconnected. */
  | { readonly kind: "aborted" };

/** Classifies an HTTP client's error by whether bytes may have been sent. */
export function upstreamErrorOf(
  thrown: unknown,
  { signal, isConnectError }: { signal: AbortSignal; isConnectError: boolean },
): UpstreamError {
  if (signal.aborted) return { kind: "aborted" };
  const { code, message } = thrown as { code?: string; message?: string };
  const detail = code ?? message ?? "unknown";
  return { kind: isConnectError ? "refused" : "broken", detail };
}
