import type { Server } from "node:http";
import { serve } from "@hono/node-server";
import { Hono } from "hono";
import { Pool } from "undici";
import type { Milliseconds } from "@wasabivane/common";
import type { KeptUpstream, Upstream } from "@wasabivane/admission";
import { Packr } from "msgpackr";
import { err, ok, type Result } from "neverthrow";
import type { ListenError } from "./listenError.ts";
import { splitAddress } from "./peerChannel.ts";

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
  readonly kept: readonly KeptUpstream[];
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
export function readinessApp({ isReady }: Shown, path: string): Hono {
  return new Hono()
    .get(path, (context) => context.body(null, isReady() ? 200 : 503));
}

/** Answers the scraper. */
export function metricsApp({ metricsText }: Shown, path: string): Hono {
  return new Hono()
    .get(path, async (context) => context.text(await metricsText()));
}

/** Gives peers what this host believes. */
export function beliefApp({ belief }: Shown): Hono {
  return new Hono().get(
    BELIEF_PATH,
    (context) => {
      const known = {
        policyVersion: Number(context.req.query("policy") ?? 0),
        listRevision: Number(context.req.query("list") ?? 0),
      };
      return context.body(new Uint8Array(packr.pack(belief(known))));
    },
  );
}

/** Listens for an app at `ip:port`. */
export function listenApp(
  app: Hono,
  address: string,
): Promise<Result<Server, ListenError>> {
  const { ip, port } = splitAddress(address);
  return new Promise((resolve) => {
    const server = serve(
      { fetch: app.fetch, hostname: ip, port },
      () => resolve(ok(server)),
    ) as Server;
    server.on("error", (error) => {
      resolve(err({ kind: "cannot-listen", detail: error.message }));
    });
  });
}

/** Reads what a peer believes. */
export async function fetchBelief(
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
