import type { JobId, Milliseconds, PeerLink, Timer } from "@wasabivane/common";
import type { Job } from "./job.ts";
import { JOB_COPY, type JobCopyReply } from "./jobMessages.ts";
import { hostOfMember, type MemberId } from "./jobRegister.ts";
import { sendMessage } from "./peerMessages.ts";

const RESEND_MS: Milliseconds = 250;

interface PendingReplication {
  readonly targets: readonly MemberId[];
  readonly replies: Map<MemberId, boolean>;
  readonly onReplies: () => void;
}

/** Replicates jobs to other hosts as unconfirmed copies. */
export class JobReplication {
  readonly #link: PeerLink;
  readonly #timer: Timer;
  readonly #copying = new Map<JobId, Set<PendingReplication>>();

  constructor({ link, timer }: { link: PeerLink; timer: Timer }) {
    this.#link = link;
    this.#timer = timer;
  }

  /**
   * Resolves with the targets that hold a copy, once all have replied or the
   * time is up.
   */
  replicateTo(
    targets: readonly MemberId[],
    { job, withinMs }: { job: Job; withinMs: Milliseconds },
  ): Promise<MemberId[]> {
    if (targets.length === 0) return Promise.resolve([]);
    return new Promise((resolve) => {
      const replies = new Map<MemberId, boolean>();
      const finish = (): void => {
        repeating.cancel();
        timeout.cancel();
        this.#remove(job.id, copying);
        resolve(targets.filter((target) => replies.get(target) === true));
      };
      const onReplies = (): void => {
        if (replies.size === targets.length) finish();
      };
      const copying: PendingReplication = { targets, replies, onReplies };
      const repeating = this.#timer.every(
        RESEND_MS,
        () => this.#send(job, copying),
      );
      const timeout = this.#timer.after(withinMs, finish);
      this.#add(job.id, copying);
      this.#send(job, copying);
    });
  }

  /** Handles a host's reply. */
  onReply({ id, member, isHeld }: JobCopyReply): void {
    for (const copying of this.#copying.get(id) ?? []) {
      if (!copying.targets.includes(member)) continue;
      copying.replies.set(member, isHeld);
      copying.onReplies();
    }
  }

  #send(job: Job, { targets, replies }: PendingReplication): void {
    for (const target of targets) {
      if (replies.has(target)) continue;
      sendMessage(this.#link, JOB_COPY, {
        to: hostOfMember(target),
        body: { job },
      });
    }
  }

  #add(id: JobId, copying: PendingReplication): void {
    const all = this.#copying.get(id) ?? new Set();
    all.add(copying);
    this.#copying.set(id, all);
  }

  #remove(id: JobId, copying: PendingReplication): void {
    const all = this.#copying.get(id);
    all?.delete(copying);
    if (all?.size === 0) this.#copying.delete(id);
  }
}
