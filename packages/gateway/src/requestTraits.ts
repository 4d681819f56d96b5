import { createHash } from "node:crypto";
import type { Digest } from "@wasabivane/common";
import { accountName, type AdmittedRequest } from "./requestAdmission.ts";

const FINGERPRINT_LENGTH = 16;
const PART_DIGEST_LENGTH = 12;
/** Parts of a prompt that are told apart; shared ones come first. */
const MAXIMUM_PARTS = 32;

/** What a request may have in common with others that crash upstreams. */
export interface RequestTraits {
  /** The same whenever one caller sends the same request. */
  readonly fingerprint: Digest;
  readonly account: Digest;
  /**
   * Parts of its prompt, by service; without the last one, which belongs to the
   * request.
   */
  readonly parts: readonly Digest[];
}

/** Returns the traits of a request, whichever route of a policy leads it on. */
export function traitsOf(
  admitted: AdmittedRequest,
  { method, path, body }: { method: string; path: string; body: Uint8Array },
): RequestTraits {
  const { account, route, service, metadata } = admitted;
  const name = accountName(account);
  const shared = metadata.promptParts.slice(0, -1).slice(0, MAXIMUM_PARTS);
  return {
    fingerprint: digestOf(
      [`${name}\n${route.host}\n${method} ${path}\n`, body],
      FINGERPRINT_LENGTH,
    ),
    account: digestOf([name], PART_DIGEST_LENGTH),
    parts: [
      ...new Set(
        shared.map(({ part }) =>
          digestOf([`${service}\n${part}`], PART_DIGEST_LENGTH)
        ),
      ),
    ],
  };
}

function digestOf(
  pieces: readonly (string | Uint8Array)[],
  length: number,
): Digest {
  const hash = createHash("sha1");
  for (const piece of pieces) hash.update(piece);
  return hash.digest("base64").slice(0, length) as Digest;
}
