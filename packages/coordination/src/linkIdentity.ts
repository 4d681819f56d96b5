import type { SecureContextOptions } from "node:tls";
import type { HostId, Incarnation, Random } from "@wasabivane/common";

/** Time for connecting and proving both sides. */
export const HANDSHAKE_TIMEOUT_MS = 2_000;

/** Who this side is and how it proves it. */
export interface LinkIdentity {
  readonly host: HostId;
  readonly incarnation: Incarnation;
  readonly random: Random;
  /** The secrets in force, the one to prove with first; a second one lets operators replace the first. */
  readonly sharedSecrets: () => readonly string[];
  /** Certificate, key and authority; `undefined` means no TLS. */
  readonly secureContext: () => SecureContextOptions | undefined;
}
