import type { HostList, ListedHost, ListedUpstream } from "@wasabivane/bundle";
import type { FailureDomain, HostId, UpstreamId } from "@wasabivane/common";
import {
  listOf,
  numberOf,
  objectOf,
  oneOf,
  optional,
  type Shape,
  textOf,
} from "./messageShapes.ts";

const MAX_LIST_ENTRIES = 65_536;

/** Validates a host list received from a peer. */
export const isHostList: Shape<HostList> = objectOf({
  version: numberOf<number>(),
  entryHosts: listOf<ListedHost>(
    objectOf({
      host: textOf<HostId>(),
      incarnation: optional(textOf<string>()),
      peerAddress: textOf<string>(),
      failureDomain: textOf<FailureDomain>(),
      state: oneOf("live", "leaving"),
    }),
    MAX_LIST_ENTRIES,
  ),
  upstreams: listOf<ListedUpstream>(
    objectOf({
      upstream: textOf<UpstreamId>(),
      state: oneOf("live", "leaving"),
    }),
    MAX_LIST_ENTRIES,
  ),
});
