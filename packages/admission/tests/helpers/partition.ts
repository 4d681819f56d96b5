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
