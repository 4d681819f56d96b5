import { Pool } from "undici";
import type { FailureDomain, Milliseconds } from "@wasabivane/common";
import type { LapsedUpstream, Upstream } from "@wasabivane/admission";
import { Packr } from "msgpackr";
import { err, ok, type Result } from "neverthrow";
import type { Page } from "./pages.ts";

const packr = new Packr({ useRecords: false });

/** Path under which hosts give each other what they believe. */
const BELIEF_PATH = "/belief";
/** A peer answers within milliseconds; one that does not is stopped or cut off. */
const FETCH_TIMEOUT_MS: Milliseconds = 400;

/** What a host that asks knows already; it is left out of the answer. */
export interface KnownBelief {
  readonly policyVersion: number;
  readonly listRevision: number;
}

/** What a host holds for true, for a peer that cannot read the store. */
export interface Belief {
  /** Bytes of the policy in force; none where the asking host has it. */
  readonly policy: Uint8Array;
  /** Age of the proof that it is the newest. */
  readonly proofAge: Milliseconds;
  /** None where the asking host knows them all. */
  readonly upstreams: readonly Upstream[];
  /** Those of them whose entries lapsed and that are gone unless they come back. */
  readonly kept: readonly LapsedUpstream[];
  /** Evacuated failure domains as of that revision. */
  readonly evacuated: readonly FailureDomain[];
  /** Revision of the store up to which these are all. */
  readonly listRevision: number;
}

/** What a host shows to peers and operators. */
export interface Shown {
  readonly isReady: () => boolean;
  readonly metricsText: () => Promise<string>;
  readonly belief: (known: KnownBelief) => Belief;
}

/** Why a peer's belief could not be had. */
export interface FetchError {
  readonly kind: "unreachable" | "no-belief";
  readonly detail: string;
}

/** Answers the balancer's question. */
export function readinessPage({ isReady }: Shown, path: string): Page {
  return { path, answer: () => ({ status: isReady() ? 200 : 503 }) };
}

/** Answers the scraper. */
export function metricsPage({ metricsText }: Shown, path: string): Page {
  return {
    path,
    answer: async () => ({
      status: 200,
      type: "text/plain; charset=UTF-8",
      body: await metricsText(),
    }),
  };
}

/** Gives peers what this host believes. */
export function beliefPage({ belief }: Shown): Page {
  return {
    path: BELIEF_PATH,
    answer: (query) => {
      const known = {
        policyVersion: Number(query.get("policy") ?? 0),
        listRevision: Number(query.get("list") ?? 0),
      };
      return { status: 200, body: packr.pack(belief(known)) };
    },
  };
}

/** Reads what a peer believes. */
export async function askBelief(
  address: string,
  { policyVersion, listRevision }: KnownBelief,
): Promise<Result<Belief, FetchError>> {
  const pool = new Pool(`http://${address}`);
  try {
    const answer = await pool.request({
      method: "GET",
      path: `${BELIEF_PATH}?policy=${policyVersion}&list=${listRevision}`,
      signal: AbortSignal.timeout(FETCH_TIMEOUT_MS),
    });
    const bytes = new Uint8Array(await answer.body.arrayBuffer());
    if (answer.statusCode !== 200) {
      return err({ kind: "no-belief", detail: `status ${answer.statusCode}` });
    }
    return ok(packr.unpack(bytes) as Belief);
  } catch (thrown) {
    return err({ kind: "unreachable", detail: String(thrown) });
  } finally {
    void pool.destroy();
  }
}
