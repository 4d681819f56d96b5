/**
 * How an accepted request ended, as told to the caller.
 *
 * - `whole`: every byte arrived, with its end mark and this dispatch's nonce.
 * - `not-run`: no byte of this request's key left for an upstream, and none can later.
 * - `unknown`: anything else; a non-idempotent request that ended so is never run again.
 */
export type RequestOutcome = "whole" | "not-run" | "unknown";
