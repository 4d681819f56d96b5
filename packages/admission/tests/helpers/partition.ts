import { rankCoordinators } from "@wasabivane/admission";
import { PLANS } from "./build.ts";
import type { VirtualFleet } from "./virtualFleet.ts";

/** Drops all messages between the first and the second half of the hosts. */
export function halve(fleet: VirtualFleet): void {
  const half = fleet.hosts.length / 2;
  cut(fleet, (index, other) => (index < half) !== (other < half));
}

/** Drops all messages between hosts. */
export function isolate(fleet: VirtualFleet): void {
  cut(fleet, (index, other) => index !== other);
}

/**
 * Splits the hosts into groups that each pass over another number of the
 * coordinators that rank first, for the rest of the replay.
 */
export function disagreeOnCoordinator(
  fleet: VirtualFleet,
  groups: number,
): void {
  const { hosts, candidates } = fleet;
  const now = fleet.now();
  for (const [index, { client }] of hosts.entries()) {
    const [cell] = client.cellsOf(PLANS);
    const ranking = rankCoordinators(cell!, candidates);
    for (const passedOver of ranking.slice(0, index % groups)) {
      client.coordinators.skipUntil(passedOver, { until: Infinity, now });
    }
  }
}

function cut(
  { hosts, cuts }: VirtualFleet,
  isCut: (index: number, other: number) => boolean,
): void {
  for (const [index, { host }] of hosts.entries()) {
    for (const [other, { host: to }] of hosts.entries()) {
      if (isCut(index, other)) cuts.add(`${host}>${to}`);
    }
  }
}
