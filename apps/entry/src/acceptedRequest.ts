import type { Buffer } from "node:buffer";
import type { Bundle, ClientAccount, Service } from "@wasabivane/bundle";
import type {
  Digest,
  IdempotencyKey,
  Milliseconds,
  RequestId,
  Tier,
} from "@wasabivane/common";

/**
 * A validated request with the values that scheduling and dispatch need,
 * including the bundle under which it was accepted.
 */
export interface AcceptedRequest {
  readonly requestId: RequestId;
  readonly bundle: Bundle;
  readonly account: ClientAccount;
  readonly service: Service;
  readonly tier: Tier;
  readonly idempotencyKey: IdempotencyKey | undefined;
  readonly isIdempotent: boolean;
  readonly acceptedAt: Milliseconds;
  /** The earliest time at which the request's first byte can have arrived. */
  readonly arrivedAt: Milliseconds;
  /** On the timer's monotonic clock. */
  readonly deadline: Milliseconds;
  readonly method: string;
  /** Path and query as sent upstream. */
  readonly path: string;
  readonly headers: Readonly<Record<string, string>>;
  readonly body: Buffer;
  readonly shouldStream: boolean;
  readonly promptTokens: number;
  readonly maximumOutputTokens: number;
  readonly prefixDigests: readonly Digest[];
  /**
   * Digest of account, service, method, path and body; equal for every resend.
   */
  readonly fingerprint: Digest;
}
