import type { FailureDomain, HostId, UpstreamId } from "@wasabivane/common";
import { z } from "zod";
import type { HostList } from "./platform.ts";

const MAX_ENTRY_HOSTS = 1_000;
const MAX_UPSTREAMS = 50_000;

const text = z.string().min(1).max(128);
const state = z.enum(["live", "leaving"]);

/**
 * The schema of the host list that the platform returns. Unknown keys are
 * dropped, since the platform may add some.
 */
export const hostListSchema: z.ZodType<HostList> = z.object({
  version: z.number().int().min(0),
  entryHosts: z.array(z.object({
    host: text as unknown as z.ZodType<HostId>,
    incarnation: text.optional(),
    peerAddress: text,
    failureDomain: text as unknown as z.ZodType<FailureDomain>,
    state,
  })).max(MAX_ENTRY_HOSTS),
  upstreams: z.array(z.object({
    upstream: text as unknown as z.ZodType<UpstreamId>,
    state,
  })).max(MAX_UPSTREAMS),
});
