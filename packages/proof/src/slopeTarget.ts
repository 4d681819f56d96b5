/** Target deployment for capacity planning. */
export const TARGET = {
  hosts: 350,
  upstreams: 12_000,
  accounts: 1_100,
  models: 14,
  regions: 12,
  failureDomains: 34,
  requestsPerSecond: 27_000,
  tokensPerSecond: 5_900_000,
  changesPerDay: 58_000,
  inForceMs: 6_000,
  deathsPerDay: 220,
  replacementsPerDay: 2_100,
  firstTokenMs: 1_800,
  tokenGapMs: 40,
  /** Budget of the control plane per host. */
  controlMsPerSecond: 39,
  controlBytesPerSecond: 3_000,
  controlMemoryBytes: 128 * 1024 * 1024,
  /** Maximum size of a platform value. */
  platformValueBytes: 1024 * 1024,
} as const;

const SECONDS_PER_DAY = 86_400;
const MILLISECONDS = 1_000;

/** Requests per second and host. */
export const REQUESTS_PER_HOST: number = TARGET.requestsPerSecond /
  TARGET.hosts;
/** Relayed tokens per second and host. */
export const TOKENS_PER_HOST: number = TARGET.tokensPerSecond / TARGET.hosts;
/** Open streams per host. */
export const STREAMS_PER_HOST: number = TOKENS_PER_HOST * TARGET.tokenGapMs /
  MILLISECONDS;
/** Mean configuration changes per second. */
export const CHANGES_PER_SECOND: number = TARGET.changesPerDay /
  SECONDS_PER_DAY;
/** Mean host deaths and replacements per second. */
export const MEMBER_CHANGES_PER_SECOND: number =
  (TARGET.deathsPerDay + TARGET.replacementsPerDay) / SECONDS_PER_DAY;
