/** Rows of asks and answers: cells, wishes, observations, verdicts and snapshots. */
import {
  asId,
  asTier,
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
  UpstreamOutcome,
} from "@wasabivane/admission";
import {
  listOf,
  numberOf,
  type Row,
  rowsOf,
  textOf,
  textsOf,
} from "./messageFields.ts";

/** A cell by its parts; no failure domain is an empty text. */
export function packCell({ service, failureDomain, index, count }: Cell): Row {
  return [service, failureDomain ?? "", index, count];
}

/** Reads what {@link packCell} made. */
export function readCell(value: unknown): Cell {
  const [service, failureDomain, index, count] = listOf(value);
  const domain = textOf(failureDomain);
  return {
    service: asId<ServiceId>(textOf(service)),
    failureDomain: domain === "" ? undefined : asId<FailureDomain>(domain),
    index: numberOf(index),
    count: numberOf(count),
  };
}

/** A waiting request; its times cross as spans. */
export function packWish(wish: PlacementRequest, now: Milliseconds): Row {
  return [
    wish.request,
    wish.route,
    wish.tier,
    Math.round(now - wish.arrivedAt),
    wish.target,
    Math.round(wish.deadline - now),
    Math.round(wish.firstByteTimeout),
    wish.promptTokens,
    wish.expectedTokens,
    wish.pauseTarget,
    wish.parts.map(({ part, tokens }) => [part, tokens]),
    [...wish.excluded],
    wish.isContinuation,
    wish.failureDomain,
  ];
}

/** Reads what {@link packWish} made. */
export function readWish(
  row: Row,
  service: ServiceId,
  now: Milliseconds,
): PlacementRequest {
  return {
    request: asId<RequestId>(textOf(row[0])),
    service,
    route: asId<RouteId>(textOf(row[1])),
    tier: asTier(numberOf(row[2])),
    arrivedAt: now - numberOf(row[3]),
    target: numberOf(row[4]),
    deadline: now + numberOf(row[5]),
    firstByteTimeout: numberOf(row[6]),
    promptTokens: numberOf(row[7]),
    expectedTokens: numberOf(row[8]),
    pauseTarget: numberOf(row[9]),
    parts: rowsOf(row[10]).map(([part, tokens]) => ({
      part: textOf(part),
      tokens: numberOf(tokens),
    })),
    excluded: new Set(textsOf<UpstreamId>(row[11])),
    isContinuation: row[12] === true,
    failureDomain: asId<FailureDomain>(textOf(row[13])),
  };
}

/** What an attempt showed; its times only where the answer came whole. */
export function packObservation(
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

/** Reads what {@link packObservation} made. */
export function readObservation(
  row: Row,
  service: ServiceId,
): AttemptObservation {
  const times = listOf(row[3]);
  const read = times.length === 0 ? {} : {
    times: {
      route: asId<RouteId>(textOf(times[0])),
      expectedTokens: numberOf(times[1]),
      promptTokens: numberOf(times[2]),
      latency: numberOf(times[3]),
      events: numberOf(times[4]),
      latePauses: numberOf(times[5]),
      ownTokens: numberOf(times[6]),
    },
  };
  return {
    upstream: asId<UpstreamId>(textOf(row[0])),
    service,
    outcome: textOf(row[1]) as UpstreamOutcome,
    residence: numberOf(row[2]),
    ...read,
  };
}

/** A decision; a place has an empty reason. */
export function packVerdict(
  { number, request, decision }: NumberedDecision,
): Row {
  if (decision.kind === "place") {
    const { upstream, inFlight, pendingPrefillTokens: unreadTokens } = decision;
    return [number, request, "", upstream, inFlight, unreadTokens];
  }
  const { reason, estimate: { ahead, startsPerSecond, wait } } = decision;
  return [number, request, reason, ahead, startsPerSecond ?? -1, wait];
}

/** Reads what {@link packVerdict} made. */
export function readVerdict(row: Row): NumberedDecision {
  return {
    number: numberOf(row[0]),
    request: asId<RequestId>(textOf(row[1])),
    decision: readDecision(textOf(row[2]), row),
  };
}

function readDecision(reason: string, row: Row): CellDecision {
  if (reason === "") {
    return {
      kind: "place",
      upstream: asId<UpstreamId>(textOf(row[3])),
      inFlight: numberOf(row[4]),
      pendingPrefillTokens: numberOf(row[5]),
    };
  }
  const pace = numberOf(row[4]);
  return {
    kind: "refuse",
    reason: reason as PlacementRefusal,
    estimate: {
      ahead: numberOf(row[3]),
      startsPerSecond: pace < 0 ? undefined : pace,
      wait: numberOf(row[5]),
    },
  };
}

/** How full a cell was; its time crosses as an age. */
export function packSnapshot(
  { cell, capacity: places, free, waiting, at }: CellSnapshot,
  now: Milliseconds,
): Row {
  return [packCell(cell), places, free, waiting, Math.round(now - at)];
}

/** Reads what {@link packSnapshot} made. */
export function readSnapshot(row: Row, now: Milliseconds): CellSnapshot {
  return {
    cell: readCell(row[0]),
    capacity: numberOf(row[1]),
    free: numberOf(row[2]),
    waiting: numberOf(row[3]),
    at: now - numberOf(row[4]),
  };
}
