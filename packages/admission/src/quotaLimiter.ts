import type { ClientAccountId, Milliseconds } from "@wasabivane/common";
import { err, ok, type Result } from "neverthrow";
import type { AccountDemand, QuotaGrants } from "./quotaReport.ts";
import type { Quota } from "./types.ts";

/** Time constant of an account's rate. */
const RATE_MS: Milliseconds = 500;
/** Weight of a request in the mean size. */
const SIZE_WEIGHT = 0.2;
/** Time for which hosts hold credit in advance, at least. */
const MINIMUM_HORIZON_MS: Milliseconds = 600;
/** The same in intervals of reports, some of which get lost. */
const HORIZON_REPORTS = 3;
/** Share of a burst that a request without any grant may take at most. */
const MAXIMUM_ADVANCE_SHARE = 0.01;
/** Credit above the need by which a host returns some. */
const RETURN_FACTOR = 2;
/** How long an account without requests is reported, in case reports get lost. */
const REPORTED_MS: Milliseconds = 5_000;
/** How long an account that got no credit is refused without another report. */
const DENIAL_MS: Milliseconds = 250;
/** How long the level in a grant holds for the ledger that comes next. */
const LEVEL_MS: Milliseconds = 1_000;
/** Interval in which an account's slots are checked. */
const IDLE_CHECK_MS: Milliseconds = 100;
/** Bounds of the retry delay of an account over its quota. */
const MINIMUM_RETRY_MS: Milliseconds = 250;
const MAXIMUM_RETRY_MS: Milliseconds = 4_000;

/** The units that a request takes from its account's quota. */
export interface QuotaRequest {
  readonly account: ClientAccountId;
  readonly quota: Quota;
  readonly units: number;
  /** Whether slots are free and no requests wait. */
  readonly isIdle: boolean;
}

/** What one host admitted and refused for an account. */
export interface QuotaCounts {
  admittedUnits: number;
  refusedRequests: number;
}

/** An account is over its quota. */
export interface OverQuota {
  readonly retryAfter: Milliseconds;
  /** Whether the host may get credit for the request within its next reports. */
  readonly isPending: boolean;
}

interface AccountState {
  used: number;
  returned: number;
  limit: number;
  /** Units wanted since the last report. */
  wanted: number;
  wantedAt: Milliseconds;
  /** Units per millisecond. */
  rate: number;
  requestUnits: number;
  isIdle: boolean;
  idleCheckedAt: Milliseconds;
  deniedUntil: Milliseconds;
  /** Whether a report was replied to, with or without credit. */
  isAnswered: boolean;
  /** Units that no host held at that time, according to the last grant. */
  level: number;
  levelAt: Milliseconds;
}

/**
 * Enforces quotas of client accounts over all hosts without a shared store: each
 * host admits requests against credit that one of them grants.
 *
 * Equal shares per host would starve an account whose callers use a single
 * host; so credit follows the demand that hosts report. A request is admitted
 * while any credit is left, as a host holds less than a large request takes;
 * what it takes beyond that is repaid first.
 */
export class QuotaLimiter {
  readonly #accounts = new Map<ClientAccountId, AccountState>();
  readonly #counts = new Map<ClientAccountId, QuotaCounts>();
  #reportedAt: Milliseconds | undefined;
  #hosts = 1;

  /** Records a request, and refuses it if its account has just got no credit. */
  check(request: QuotaRequest, now: Milliseconds): Result<void, OverQuota> {
    const state = this.#stateOf(request, now);
    state.wanted += request.units;
    state.wantedAt = now;
    state.requestUnits += SIZE_WEIGHT * (request.units - state.requestUnits);
    const isDenied = !hasCredit(state, request) && now < state.deniedUntil;
    return isDenied
      ? err(this.#createRefusal(request, state, now))
      : ok(undefined);
  }

  /** Takes units for a request that passed its check. */
  take(request: QuotaRequest, now: Milliseconds): Result<void, OverQuota> {
    const state = this.#stateOf(request, now);
    if (!hasCredit(state, request)) {
      return err(this.#createRefusal(request, state, now));
    }
    state.used += request.units;
    this.#countsOf(request.account).admittedUnits += request.units;
    return ok(undefined);
  }

  /** Refunds units of a request that did not run. */
  refund(account: ClientAccountId, units: number): void {
    const state = this.#accounts.get(account);
    if (state !== undefined) state.used -= units;
  }

  /**
   * Returns what this host used and needs, for reports in this interval, and
   * gives credit back that it no longer needs.
   */
  createDemands(interval: Milliseconds, now: Milliseconds): AccountDemand[] {
    const elapsed = now - (this.#reportedAt ?? now);
    this.#reportedAt = now;
    const horizon = Math.max(MINIMUM_HORIZON_MS, HORIZON_REPORTS * interval);
    const demands: AccountDemand[] = [];
    for (const [account, state] of this.#accounts) {
      if (now - state.wantedAt > REPORTED_MS) continue;
      updateRate(state, elapsed);
      // Any credit admits a request.
      const needed = Math.max(1, Math.ceil(state.rate * horizon));
      const excess = creditOf(state) - needed;
      if (excess > (RETURN_FACTOR - 1) * needed) state.returned += excess;
      const { used, returned, limit, requestUnits, isIdle } = state;
      demands.push({
        account,
        used,
        returned,
        limit,
        needed,
        requestUnits: Math.ceil(requestUnits),
        isIdle,
      });
    }
    return demands;
  }

  /** Applies the credit granted in reply to a report. */
  applyGrants(
    { accounts, hosts, isSettled }: QuotaGrants,
    now: Milliseconds,
  ): void {
    this.#hosts = Math.max(1, hosts);
    for (const [account, { limit, level }] of accounts) {
      const state = this.#accounts.get(account);
      if (state === undefined) continue;
      // Replies may arrive in another order.
      state.limit = Math.max(state.limit, limit);
      state.isAnswered = true;
      // While units are left, credit follows once the grantor knows the need.
      const isDenied = isSettled && creditOf(state) <= 0 &&
        level < state.requestUnits;
      if (isDenied) state.deniedUntil = now + DENIAL_MS;
      state.level = level;
      state.levelAt = now;
    }
  }

  /** Counts a request that is refused in the end. */
  countRefusal(account: ClientAccountId): void {
    this.#countsOf(account).refusedRequests++;
  }

  /** Returns the counts of each account since the last call. */
  takeCounts(): ReadonlyMap<ClientAccountId, QuotaCounts> {
    const counts = new Map(this.#counts);
    this.#counts.clear();
    return counts;
  }

  /** Returns an account's level in the last grant, unless that is too old. */
  levelOf(account: ClientAccountId, now: Milliseconds): number | undefined {
    const state = this.#accounts.get(account);
    if (state === undefined || now - state.levelAt > LEVEL_MS) return undefined;
    return state.level;
  }

  /** Returns the credit that is left for an account; negative in debt. */
  credit(account: ClientAccountId): number | undefined {
    const state = this.#accounts.get(account);
    return state === undefined ? undefined : creditOf(state);
  }

  #createRefusal(
    { quota, units }: QuotaRequest,
    state: AccountState,
    now: Milliseconds,
  ): OverQuota {
    const ownRate = quota.perSecond / this.#hosts;
    const wait = 1_000 * (units - creditOf(state)) / ownRate;
    return {
      retryAfter: Math.min(MAXIMUM_RETRY_MS, Math.max(MINIMUM_RETRY_MS, wait)),
      isPending: now >= state.deniedUntil,
    };
  }

  #stateOf(request: QuotaRequest, now: Milliseconds): AccountState {
    let state = this.#accounts.get(request.account);
    if (state === undefined) {
      state = createState(request, now);
      this.#accounts.set(request.account, state);
    } else if (now - state.idleCheckedAt >= IDLE_CHECK_MS) {
      state.isIdle = request.isIdle;
      state.idleCheckedAt = now;
    }
    return state;
  }

  #countsOf(account: ClientAccountId): QuotaCounts {
    const known = this.#counts.get(account);
    if (known !== undefined) return known;
    const counts = { admittedUnits: 0, refusedRequests: 0 };
    this.#counts.set(account, counts);
    return counts;
  }
}

function createState(
  { units, isIdle }: QuotaRequest,
  now: Milliseconds,
): AccountState {
  return {
    used: 0,
    returned: 0,
    limit: 0,
    wanted: 0,
    wantedAt: now,
    rate: 0,
    requestUnits: units,
    isIdle,
    idleCheckedAt: now,
    deniedUntil: -Infinity,
    isAnswered: false,
    level: 0,
    levelAt: -Infinity,
  };
}

function creditOf({ limit, used, returned }: AccountState): number {
  return limit - used - returned;
}

/**
 * Whether a request may be admitted; it may take more than the credit left. Before
 * the first grant, a host admits one request, which the grantor charges then.
 */
function hasCredit(
  state: AccountState,
  { quota, units }: QuotaRequest,
): boolean {
  const isFirst = !state.isAnswered && state.used === 0;
  return creditOf(state) > 0 ||
    isFirst && units <= MAXIMUM_ADVANCE_SHARE * quota.burst;
}

function updateRate(state: AccountState, elapsed: Milliseconds): void {
  if (elapsed <= 0) return;
  const weight = 1 - Math.exp(-elapsed / RATE_MS);
  state.rate += weight * (state.wanted / elapsed - state.rate);
  state.wanted = 0;
}
