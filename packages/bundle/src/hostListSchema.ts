import type { FailureDomain, HostId, UpstreamId } from "@wasabivane/common";
import { z } from "zod";
import type { HostList } from "./platform.ts";

const MAX_ENTRY_HOSTS = 1_000;
const MAX_UPSTREAMS = 50_000;

const text = z.string().min(1).max(128);
const state = z.enum(["live", "leaving"]);

/**
 * The host list as the platform answers it. Unlike bundles and settings it is
 * not ours, so that keys which the platform adds are dropped, not refused.
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
