/**
 * Field names of the objects that hosts send often. Both ends know this table,
 * so an object with exactly these fields is encoded as one byte and its values.
 *
 * An object whose fields or their order differ is encoded with its field names.
 * The table is part of the protocol: changing it requires a new
 * `PROTOCOL_VERSION`, otherwise receivers decode values under the wrong names.
 */
export const MESSAGE_STRUCTURES: readonly (readonly string[])[] = [
  // Membership
  ["sender", "isRegular", "news", "extras"],
  ["sender", "isRegular", "isProbe", "news", "extras"],
  [
    "host",
    "incarnation",
    "failureDomain",
    "peerAddress",
    "isLeaving",
    "state",
    "sequence",
    "revision",
  ],
  [
    "host",
    "incarnation",
    "state",
    "failureDomain",
    "peerAddress",
    "isLeaving",
    "sequence",
    "revision",
  ],
  ["news"],
  // Configuration
  ["inForce", "hostListVersion", "reads"],
  ["version", "root"],
  ["host", "ageMs"],
  ["document", "version", "root", "fromRoot", "index"],
  ["document", "version", "root", "fromRoot", "index", "count", "text"],
  // Pools
  ["service", "ask"],
  [
    "request",
    "originDomain",
    "account",
    "tier",
    "promptTokens",
    "maximumOutputTokens",
    "bodyBytes",
    "prefixDigests",
    "fingerprint",
    "timeLeft",
  ],
  ["service", "decision"],
  ["kind", "upstream", "expectedCachedTokens", "request"],
  ["service", "request"],
  ["service", "report"],
  ["request", "upstream", "outcome", "outputTokens", "cachedTokens"],
  ["service", "waiting", "running", "checksum"],
  ["service", "waiting", "running"],
  ["ask", "upstream", "runningFor", "hasFirstToken"],
  // View leases
  ["serial", "incarnation", "views"],
  [
    "serial",
    "asker",
    "incarnation",
    "isJoined",
    "views",
    "retired",
    "supported",
  ],
  [
    "serial",
    "asker",
    "incarnation",
    "isJoined",
    "views",
    "retired",
    "supported",
    "granted",
    "unbrokenSince",
  ],
  ["version", "hosts"],
  // Keys
  [
    "account",
    "key",
    "issuedAt",
    "lifetimeMs",
    "bodyDigest",
    "isIdempotent",
    "claimId",
    "claimant",
  ],
  ["host", "incarnation", "request"],
  ["claimId", "answer"],
  ["kind", "attempt"],
  ["account", "key", "claimId", "sequence", "state", "dispatch"],
  ["upstream", "nonce"],
  ["claimId", "sequence"],
];
