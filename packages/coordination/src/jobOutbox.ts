import type { JobId, Milliseconds, PeerLink, Timer } from "@wasabivane/common";
import {
  JOB_UPDATE,
  type JobUpdate,
  type JobUpdateAck,
} from "./jobMessages.ts";
import type { JobMembers } from "./jobMembers.ts";
import { hostOfMember, type MemberId } from "./jobRegister.ts";
import { sendMessage } from "./peerMessages.ts";

const FIRST_REPEAT_MS: Milliseconds = 200;
const MAX_REPEAT_MS: Milliseconds = 5_000;
/** News for a process that looks dead is kept so long, in case it was cut off. */
const GIVE_UP_MS: Milliseconds = 60_000;

interface PendingNews {
  readonly to: MemberId;
  readonly id: JobId;
  readonly news: JobUpdate;
  readonly sequence: number;
  repeatAt: Milliseconds;
  pause: Milliseconds;
  readonly onNoted?: (isHeld: boolean) => void;
}

/**
 * Repeats news until the other side notes it. There is one place per member and
 * job: later news says all that earlier news said.
 */
export class JobOutbox {
  readonly #link: PeerLink;
  readonly #timer: Timer;
  readonly #members: JobMembers;
  readonly #pending = new Map<string, PendingNews>();
  #sequence = 0;

  constructor(
    { link, timer, members }: {
      link: PeerLink;
      timer: Timer;
      members: JobMembers;
    },
  ) {
    this.#link = link;
    this.#timer = timer;
    this.#members = members;
  }

  post(
    to: MemberId,
    { id, news, onNoted }: {
      id: JobId;
      news: JobUpdate;
      onNoted?: (isHeld: boolean) => void;
    },
  ): void {
    const pending: PendingNews = {
      to,
      id,
      news,
      sequence: ++this.#sequence,
      repeatAt: this.#timer.now() + FIRST_REPEAT_MS,
      pause: FIRST_REPEAT_MS,
      ...(onNoted && { onNoted }),
    };
    this.#pending.set(placeOf(to, id), pending);
    this.#send(pending);
  }

  acknowledge({ id, sequence, member, isHeld }: JobUpdateAck): void {
    const place = placeOf(member, id);
    const pending = this.#pending.get(place);
    if (pending?.sequence !== sequence) return;
    this.#pending.delete(place);
    pending.onNoted?.(isHeld);
  }

  /** Repeats what is due. */
  resendDue(): void {
    const now = this.#timer.now();
    for (const [place, pending] of this.#pending) {
      if (now < pending.repeatAt) continue;
      if (this.#isHopeless(pending.to, now)) {
        this.#pending.delete(place);
        continue;
      }
      pending.pause = Math.min(MAX_REPEAT_MS, pending.pause * 2);
      pending.repeatAt = now + pending.pause;
      this.#send(pending);
    }
  }

  /** Jobs with news on its way to a process that answers. */
  jobsWithPendingUpdates(): Set<JobId> {
    const pending = [...this.#pending.values()].filter(({ to }) =>
      !this.#members.isDead(to)
    );
    return new Set(pending.map(({ id }) => id));
  }

  #isHopeless(to: MemberId, now: Milliseconds): boolean {
    return this.#members.isReplaced(to) ||
      this.#members.deadFor(to, now) >= GIVE_UP_MS;
  }

  #send({ to, id, news, sequence }: PendingNews): void {
    const body = { id, sequence, to, news };
    sendMessage(this.#link, JOB_UPDATE, { to: hostOfMember(to), body });
  }
}

function placeOf(member: MemberId, id: JobId): string {
  return `${member} ${id}`;
}
