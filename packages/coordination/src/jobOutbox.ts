import type { JobId, Milliseconds, PeerLink, Timer } from "@wasabivane/common";
import {
  JOB_UPDATE,
  type JobUpdate,
  type JobUpdateAck,
} from "./jobMessages.ts";
import type { JobMembers } from "./jobMembers.ts";
import { hostOfMember, type MemberId } from "./jobRegister.ts";
import { sendMessage } from "./peerMessages.ts";

const FIRST_RESEND_MS: Milliseconds = 200;
const MAX_RESEND_MS: Milliseconds = 5_000;
/** How long updates for a process that looks dead are kept. */
const DEAD_RECIPIENT_MS: Milliseconds = 60_000;

interface PendingUpdate {
  readonly to: MemberId;
  readonly id: JobId;
  readonly update: JobUpdate;
  readonly sequence: number;
  resendAt: Milliseconds;
  resendDelay: Milliseconds;
  readonly onAck?: (isHeld: boolean) => void;
}

/**
 * Resends updates until they are acknowledged. Only the newest update per
 * member and job is kept, since it supersedes earlier ones.
 */
export class JobOutbox {
  readonly #link: PeerLink;
  readonly #timer: Timer;
  readonly #members: JobMembers;
  readonly #pending = new Map<string, PendingUpdate>();
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
    { id, update, onAck }: {
      id: JobId;
      update: JobUpdate;
      onAck?: (isHeld: boolean) => void;
    },
  ): void {
    const pending: PendingUpdate = {
      to,
      id,
      update,
      sequence: ++this.#sequence,
      resendAt: this.#timer.now() + FIRST_RESEND_MS,
      resendDelay: FIRST_RESEND_MS,
      ...(onAck && { onAck }),
    };
    this.#pending.set(pendingKeyOf(to, id), pending);
    this.#send(pending);
  }

  acknowledge({ id, sequence, member, isHeld }: JobUpdateAck): void {
    const key = pendingKeyOf(member, id);
    const pending = this.#pending.get(key);
    if (pending?.sequence !== sequence) return;
    this.#pending.delete(key);
    pending.onAck?.(isHeld);
  }

  /** Resends updates that are due. */
  resendDue(): void {
    const now = this.#timer.now();
    for (const [key, pending] of this.#pending) {
      if (now < pending.resendAt) continue;
      if (this.#isUndeliverable(pending.to, now)) {
        this.#pending.delete(key);
        continue;
      }
      pending.resendDelay = Math.min(MAX_RESEND_MS, pending.resendDelay * 2);
      pending.resendAt = now + pending.resendDelay;
      this.#send(pending);
    }
  }

  /** Returns the jobs with updates pending for a process that is alive. */
  jobsWithPendingUpdates(): Set<JobId> {
    const pending = [...this.#pending.values()].filter(({ to }) =>
      !this.#members.isDead(to)
    );
    return new Set(pending.map(({ id }) => id));
  }

  #isUndeliverable(to: MemberId, now: Milliseconds): boolean {
    return this.#members.isReplaced(to) ||
      this.#members.deadFor(to, now) >= DEAD_RECIPIENT_MS;
  }

  #send({ to, id, update, sequence }: PendingUpdate): void {
    const body = { id, sequence, to, news: update };
    sendMessage(this.#link, JOB_UPDATE, { to: hostOfMember(to), body });
  }
}

function pendingKeyOf(member: MemberId, id: JobId): string {
  return `${member} ${id}`;
}
