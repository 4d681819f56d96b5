import type { JobId, Milliseconds, PeerLink, Timer } from "@wasabivane/common";
import type { Job } from "./job.ts";
import { JOB_COPY, type JobCopyReply } from "./jobMessages.ts";
import { hostOfMember, type MemberId } from "./jobRegister.ts";
import { sendMessage } from "./peerMessages.ts";

const REPEAT_MS: Milliseconds = 250;

interface Copying {
  readonly targets: readonly MemberId[];
  readonly answers: Map<MemberId, boolean>;
  readonly onAnswer: () => void;
}

/** Places unconfirmed copies at other hosts. */
export class JobReplication {
  readonly #link: PeerLink;
  readonly #timer: Timer;
  readonly #copying = new Map<JobId, Set<Copying>>();

  constructor({ link, timer }: { link: PeerLink; timer: Timer }) {
    this.#link = link;
    this.#timer = timer;
  }

  /** The targets that hold a copy when all have answered or the time is up. */
  replicateTo(
    targets: readonly MemberId[],
    { job, withinMs }: { job: Job; withinMs: Milliseconds },
  ): Promise<MemberId[]> {
    if (targets.length === 0) return Promise.resolve([]);
    return new Promise((resolve) => {
      const answers = new Map<MemberId, boolean>();
      const finish = (): void => {
        repeating.cancel();
        timeout.cancel();
        this.#remove(job.id, copying);
        resolve(targets.filter((target) => answers.get(target) === true));
      };
      const onAnswer = (): void => {
        if (answers.size === targets.length) finish();
      };
      const copying: Copying = { targets, answers, onAnswer };
      const repeating = this.#timer.every(
        REPEAT_MS,
        () => this.#send(job, copying),
      );
      const timeout = this.#timer.after(withinMs, finish);
      this.#add(job.id, copying);
      this.#send(job, copying);
    });
  }

  /** Takes a host's answer. */
  onReply({ id, member, isHeld }: JobCopyReply): void {
    for (const copying of this.#copying.get(id) ?? []) {
      if (!copying.targets.includes(member)) continue;
      copying.answers.set(member, isHeld);
      copying.onAnswer();
    }
  }

  #send(job: Job, { targets, answers }: Copying): void {
    for (const target of targets) {
      if (answers.has(target)) continue;
      sendMessage(this.#link, JOB_COPY, {
        to: hostOfMember(target),
        body: { job },
      });
    }
  }

  #add(id: JobId, copying: Copying): void {
    const all = this.#copying.get(id) ?? new Set();
    all.add(copying);
    this.#copying.set(id, all);
  }

  #remove(id: JobId, copying: Copying): void {
    const all = this.#copying.get(id);
    all?.delete(copying);
    if (all?.size === 0) this.#copying.delete(id);
  }
}
