import type { HostList } from "@wasabivane/bundle";
import {
  type Blackboard,
  Controller,
  createTopic,
  type HostId,
} from "@wasabivane/common";
import { HOST_LIST, type PoolMember } from "@wasabivane/coordination";

/** Members as the host list names them. */
export const MEMBERS = createTopic<readonly PoolMember[]>("members", []);
/** Share of the listed hosts that this one hears. */
export const FLEET_SHARE = createTopic("fleet-share", 1);

/** Takes the host list for the membership, until heartbeats say better. */
export class MembersFromHostList extends Controller {
  readonly #blackboard: Blackboard;
  readonly #self: PoolMember;
  #unwatch: (() => void) | undefined;

  constructor(
    blackboard: Blackboard,
    { self, incarnation }: { self: HostId; incarnation: string },
  ) {
    super();
    this.#blackboard = blackboard;
    this.#self = { host: self, incarnation, state: "alive", isLeaving: false };
  }

  override start(): void {
    this.#blackboard.write(MEMBERS, [this.#self]);
    this.#unwatch = this.#blackboard.watch(
      HOST_LIST,
      (list) => this.#follow(list),
    );
  }

  override stop(): void {
    this.#unwatch?.();
  }

  #follow(list: HostList | undefined): void {
    const others = (list?.entryHosts ?? []).filter(({ host }) =>
      host !== this.#self.host
    );
    const members = others.map(({ host, incarnation, state }): PoolMember => ({
      host,
      incarnation: incarnation ?? "",
      state: "alive",
      isLeaving: state === "leaving",
    }));
    this.#blackboard.write(MEMBERS, [this.#self, ...members]);
  }
}
