import { Buffer } from "node:buffer";
import { createHash, timingSafeEqual } from "node:crypto";
import type { Bundle, ClientAccount } from "@wasabivane/bundle";

const INDEX_BYTES = 4;
const BEARER = /^Bearer ([\x21-\x7e]{1,256})$/;

interface Candidate {
  readonly digest: Buffer;
  readonly account: ClientAccount;
}

/**
 * Finds the client account of an API key. Compares digests in constant time, so
 * that response times reveal nothing about the key. The index holds the first
 * bytes of each digest.
 */
export class Authenticator {
  readonly #candidates = new Map<string, Candidate[]>();

  constructor(bundle: Bundle) {
    for (const account of bundle.clientAccounts) {
      for (const hex of account.keyDigests) {
        this.#add(Buffer.from(hex, "hex"), account);
      }
    }
  }

  /**
   * Returns the account whose key an `Authorization` header carries, if any.
   */
  authenticate(header: string | undefined): ClientAccount | undefined {
    const key = header === undefined ? undefined : BEARER.exec(header)?.[1];
    if (key === undefined) return undefined;
    const digest = createHash("sha256").update(key).digest();
    let found: ClientAccount | undefined;
    for (const candidate of this.#candidates.get(indexOf(digest)) ?? []) {
      if (timingSafeEqual(candidate.digest, digest)) found = candidate.account;
    }
    return found;
  }

  #add(digest: Buffer, account: ClientAccount): void {
    const index = indexOf(digest);
    const candidates = this.#candidates.get(index) ?? [];
    candidates.push({ digest, account });
    this.#candidates.set(index, candidates);
  }
}

function indexOf(digest: Buffer): string {
  return digest.toString("hex", 0, INDEX_BYTES);
}
