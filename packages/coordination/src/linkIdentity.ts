import type { SecureContextOptions } from "node:tls";
import type { HostId, Incarnation, Random } from "@wasabivane/common";

/** Time limit for connecting and authenticating both sides. */
export const HANDSHAKE_TIMEOUT_MS = 2_000;

/** Identity and credentials of this host on peer connections. */
export interface LinkIdentity {
  readonly host: HostId;
  readonly incarnation: Incarnation;
  readonly random: Random;
  /**
   * Accepted secrets. The first one signs; the others are accepted during
   * rotation.
   */
  readonly sharedSecrets: () => readonly string[];
  /** TLS certificate, key and CA; `undefined` disables TLS. */
  readonly secureContext: () => SecureContextOptions | undefined;
}
