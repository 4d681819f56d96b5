/** The users' target in two years, and what follows from it by division. */
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
  /** 3.9 % of a core. */
  controlMsPerSecond: 39,
  controlBytesPerSecond: 3_000,
  controlMemoryBytes: 128 * 1024 * 1024,
  /** Largest value of the platform. */
  platformValueBytes: 1024 * 1024,
} as const;

const SECONDS_PER_DAY = 86_400;
const MILLISECONDS = 1_000;

/** Requests that one host takes in a second. */
export const REQUESTS_PER_HOST: number = TARGET.requestsPerSecond /
  TARGET.hosts;
/** Tokens that one host relays in a second. */
export const TOKENS_PER_HOST: number = TARGET.tokensPerSecond / TARGET.hosts;
/** Streams open at one host, each with a token every 40 ms. */
export const STREAMS_PER_HOST: number = TOKENS_PER_HOST * TARGET.tokenGapMs /
  MILLISECONDS;
/** Changes of configuration in a second, on average over a day. */
export const CHANGES_PER_SECOND: number = TARGET.changesPerDay /
  SECONDS_PER_DAY;
/** Hosts that end or start in a second, on average over a day. */
export const MEMBER_CHANGES_PER_SECOND: number =
  (TARGET.deathsPerDay + TARGET.replacementsPerDay) / SECONDS_PER_DAY;
