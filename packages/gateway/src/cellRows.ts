/** Encoding of the parts of cell updates and replies as rows. */
import {
  asId,
  asTier,
  type ClientAccountId,
  type FailureDomain,
  type Milliseconds,
  type RequestId,
  type ServiceId,
  type UpstreamId,
} from "@wasabivane/common";
import type {
  AttemptObservation,
  Cell,
  CellDecision,
  CellSnapshot,
  NumberedDecision,
  PlacementRefusal,
  PlacementRequest,
  RouteId,
  SoftwareVersion,
  UpstreamBackoff,
  UpstreamOutcome,
  UpstreamReport,
} from "@wasabivane/admission";
import {
  expectArray,
  expectIds,
  expectInteger,
  expectNumber,
  expectRows,
  expectString,
  type Row,
} from "./rowValues.ts";

/** Cells of one service in one failure domain. */
const MAXIMUM_CELLS = 2 ** 20;

/** Encodes a cell; a missing failure domain becomes an empty string. */
export function encodeCell(
  { service, failureDomain, index, count }: Cell,
): Row {
  return [service, failureDomain ?? "", index, count];
}

/** Decodes the row of {@link encodeCell}. */
export function decodeCell(value: unknown): Cell {
  const [service, failureDomain, index, count] = expectArray(value);
  const domain = expectString(failureDomain);
  return {
    service: asId<ServiceId>(expectString(service)),
    failureDomain: domain === "" ? undefined : asId<FailureDomain>(domain),
    index: expectInteger(index, { maximum: MAXIMUM_CELLS }),
    count: expectInteger(count, { minimum: 1, maximum: MAXIMUM_CELLS }),
  };
}

/** Encodes a queued request; its times are sent relative to now. */
export function encodePlacementRequest(
  request: PlacementRequest,
  now: Milliseconds,
): Row {
  return [
    request.request,
    request.route,
    request.tier,
    Math.round(now - request.arrivedAt),
    request.target,
    Math.round(request.deadline - now),
    Math.round(request.firstByteTimeout),
    request.promptTokens,
    request.expectedTokens,
    request.pauseTarget,
    request.parts.map(({ part, tokens }) => [part, tokens]),
    [...request.excluded],
    request.isContinuation,
    request.failureDomain,
    request.softwareVersion ?? "",
    request.account ?? "",
  ];
}

/** Decodes the row of {@link encodePlacementRequest}. */
export function decodePlacementRequest(
  row: Row,
  service: ServiceId,
  now: Milliseconds,
): PlacementRequest {
  return {
    request: asId<RequestId>(expectString(row[0])),
    service,
    route: asId<RouteId>(expectString(row[1])),
    tier: asTier(expectNumber(row[2])),
    arrivedAt: now - expectNumber(row[3]),
    target: expectNumber(row[4]),
    deadline: now + expectNumber(row[5]),
    firstByteTimeout: expectNumber(row[6]),
    promptTokens: expectNumber(row[7]),
    expectedTokens: expectNumber(row[8]),
    pauseTarget: expectNumber(row[9]),
    parts: expectRows(row[10]).map(([part, tokens]) => ({
      part: expectString(part),
      tokens: expectNumber(tokens),
    })),
    excluded: new Set(expectIds<UpstreamId>(row[11])),
    isContinuation: row[12] === true,
    failureDomain: asId<FailureDomain>(expectString(row[13])),
    ...row[14] !== "" &&
      { softwareVersion: asId<SoftwareVersion>(expectString(row[14])) },
    ...row[15] !== "" &&
      { account: asId<ClientAccountId>(expectString(row[15])) },
  };
}

/**
 * Encodes the observation of an attempt; it has timings only if the response
 * was complete.
 */
export function encodeObservation(
  { upstream, outcome, residence, times }: AttemptObservation,
): Row {
  const rows = times === undefined ? [] : [
    times.route,
    times.expectedTokens,
    times.promptTokens,
    Math.round(times.latency),
    times.events,
    times.latePauses,
    times.ownTokens,
  ];
  return [upstream, outcome, Math.round(residence), rows];
}

/** Decodes the row of {@link encodeObservation}. */
export function decodeObservation(
  row: Row,
  service: ServiceId,
): AttemptObservation {
  const times = expectArray(row[3]);
  const read = times.length === 0 ? {} : {
    times: {
      route: asId<RouteId>(expectString(times[0])),
      expectedTokens: expectNumber(times[1]),
      promptTokens: expectNumber(times[2]),
      latency: expectNumber(times[3]),
      events: expectNumber(times[4]),
      latePauses: expectNumber(times[5]),
      ownTokens: expectNumber(times[6]),
    },
  };
  return {
    upstream: asId<UpstreamId>(expectString(row[0])),
    service,
    outcome: expectString(row[1]) as UpstreamOutcome,
    residence: expectNumber(row[2]),
    ...read,
  };
}

/** Encodes a decision; an assigned slot has an empty reason. */
export function encodeDecision(
  { number, request, decision }: NumberedDecision,
): Row {
  if (decision.kind === "place") {
    const { upstream, inFlight, pendingPrefillTokens } = decision;
    return [number, request, "", upstream, inFlight, pendingPrefillTokens];
  }
  const { reason, estimate, by } = decision;
  const { ahead, startsPerSecond, wait } = estimate;
  return [
    number,
    request,
    reason,
    ahead,
    startsPerSecond ?? -1,
    wait,
    ...by === undefined ? [] : [by],
  ];
}

/** Decodes the row of {@link encodeDecision}. */
export function decodeDecision(row: Row): NumberedDecision {
  return {
    number: expectNumber(row[0]),
    request: asId<RequestId>(expectString(row[1])),
    decision: decodeDecisionBody(expectString(row[2]), row),
  };
}

function decodeDecisionBody(reason: string, row: Row): CellDecision {
  if (reason === "") {
    return {
      kind: "place",
      upstream: asId<UpstreamId>(expectString(row[3])),
      inFlight: expectNumber(row[4]),
      pendingPrefillTokens: expectNumber(row[5]),
    };
  }
  const rate = expectNumber(row[4]);
  return {
    kind: "refuse",
    reason: reason as PlacementRefusal,
    estimate: {
      ahead: expectNumber(row[3]),
      startsPerSecond: rate < 0 ? undefined : rate,
      wait: expectNumber(row[5]),
    },
    ...row[6] === "share" && { by: "share" },
  };
}

/** Returns a number, of which a negative one stands for none. */
function expectOptional(value: unknown): number | undefined {
  const number = expectNumber(value);
  return number < 0 ? undefined : number;
}

/** Encodes what an upstream reported. */
export function encodeReport(
  [upstream, report]: readonly [UpstreamId, UpstreamReport],
): Row {
  const { requests, startsPerSecond, rejectionsPerSecond, slowdown } = report;
  const row = [
    upstream,
    requests ?? -1,
    startsPerSecond ?? -1,
    rejectionsPerSecond ?? -1,
    slowdown ?? -1,
  ];
  while (row.at(-1) === -1 && row.length > 2) row.pop();
  return row;
}

/** Decodes the row of {@link encodeReport}. */
export function decodeReport(
  [
    upstream,
    requests,
    startsPerSecond = -1,
    rejectionsPerSecond = -1,
    slowdown = -1,
  ]: Row,
): [UpstreamId, UpstreamReport] {
  const tolerated = expectOptional(rejectionsPerSecond);
  const factor = expectOptional(slowdown);
  return [asId<UpstreamId>(expectString(upstream)), {
    requests: expectOptional(requests),
    startsPerSecond: expectOptional(startsPerSecond),
    ...tolerated !== undefined && { rejectionsPerSecond: tolerated },
    ...factor !== undefined && { slowdown: factor },
  }];
}

/**
 * Encodes a backoff; its end is sent as the time left, rounded up so that it does
 * not end early.
 */
export function encodeBackoff(
  [upstream, until]: UpstreamBackoff,
  now: Milliseconds,
): Row {
  return [upstream, Math.ceil(until - now)];
}

/** Decodes the row of {@link encodeBackoff}. */
export function decodeBackoff(
  [upstream, left]: Row,
  now: Milliseconds,
): UpstreamBackoff {
  return [asId<UpstreamId>(expectString(upstream)), now + expectNumber(left)];
}

/** Encodes a cell snapshot; its time is sent as an age. */
export function encodeSnapshot(
  { cell, capacity, free, waiting, at }: CellSnapshot,
  now: Milliseconds,
): Row {
  return [encodeCell(cell), capacity, free, waiting, Math.round(now - at)];
}

/** Decodes the row of {@link encodeSnapshot}. */
export function decodeSnapshot(row: Row, now: Milliseconds): CellSnapshot {
  return {
    cell: decodeCell(row[0]),
    capacity: expectNumber(row[1]),
    free: expectNumber(row[2]),
    waiting: expectNumber(row[3]),
    at: now - expectNumber(row[4]),
  };
}
