/**
 * The outcome of an accepted request, as reported to the caller.
 *
 * - `whole`: the complete response arrived, with end marker and matching nonce.
 * - `not-run`: nothing was sent to an upstream, and nothing will be.
 * - `unknown`: anything else; non-idempotent requests are not retried.
 */
export type RequestOutcome = "whole" | "not-run" | "unknown";
