import type {
  ClientAccountId,
  HostId,
  JobId,
  Milliseconds,
  PeerLink,
  Timer,
} from "@wasabivane/common";
import { err, ok, type Result } from "neverthrow";
import type { JobLookUpError, JobStatus } from "./job.ts";
import { type JobLifecycle, knownDispatchOf } from "./jobLifecycle.ts";
import { hostsInId, inRendezvousOrder, type JobMembers } from "./jobMembers.ts";
import {
  JOB_STATUS_REPLY,
  JOB_STATUS_REQUEST,
  type JobStatusReply,
  type JobStatusRequest,
} from "./jobMessages.ts";
import type { JobRecord, JobStore } from "./jobStore.ts";
import { sendMessage, subscribeMessage } from "./peerMessages.ts";

const ANSWER_WAIT_MS: Milliseconds = 1_000;
const REPEAT_MS: Milliseconds = 250;
/**
 * Hosts asked beside those in the id. Moves follow the job's rendezvous order,
 * so that a job is found after several losses without asking the whole fleet.
 */
const MAX_HOSTS_BY_ORDER = 6;

interface PendingQuestion {
  readonly body: JobStatusRequest;
  readonly hosts: readonly HostId[];
  readonly answered: Set<HostId>;
  best: JobStatus | undefined;
  readonly finish: () => void;
}

/** What {@link JobLookUps} needs. */
export interface JobLookUpsOptions {
  readonly link: PeerLink;
  readonly timer: Timer;
  readonly store: JobStore;
  readonly members: JobMembers;
  readonly lifecycle: JobLifecycle;
}

/** Finds jobs at whichever host holds them, for their own client account only. */
export class JobLookUps {
  readonly #options: JobLookUpsOptions;
  readonly #pending = new Map<number, PendingQuestion>();
  #lastQuestion = 0;

  constructor(options: JobLookUpsOptions) {
    this.#options = options;
  }

  start(): (() => void)[] {
    const { link } = this.#options;
    return [
      subscribeMessage(
        link,
        JOB_STATUS_REQUEST,
        (from, body) => this.#onQuestion(from, body),
      ),
      subscribeMessage(
        link,
        JOB_STATUS_REPLY,
        (from, body) => this.#onStatus(from, body),
      ),
    ];
  }

  /** Asks this host and, unless it knows the end, the others. */
  lookUp(
    id: JobId,
    account: ClientAccountId,
  ): Promise<Result<JobStatus, JobLookUpError>> {
    const own = this.#statusHere(id, account);
    if (own?.kind === "ended") return Promise.resolve(ok(own));
    return this.#ask(id, { account, own });
  }

  /** Tells every host that may hold the job to drop it. */
  recordFetched(id: JobId, account: ClientAccountId): void {
    const { link } = this.#options;
    this.#forgetHere(id, account);
    const body = { id, account, question: 0, isFetched: true };
    for (const to of this.#hostsOf(id)) {
      sendMessage(link, JOB_STATUS_REQUEST, { to, body });
    }
  }

  #ask(
    id: JobId,
    { account, own }: {
      account: ClientAccountId;
      own: JobStatus | undefined;
    },
  ): Promise<Result<JobStatus, JobLookUpError>> {
    const { timer } = this.#options;
    const hosts = this.#hostsOf(id);
    const question = ++this.#lastQuestion;
    return new Promise((resolve) => {
      const finish = (): void => {
        repeating.cancel();
        timeout.cancel();
        this.#pending.delete(question);
        resolve(resultOf(pending));
      };
      const pending: PendingQuestion = {
        body: { id, account, question, isFetched: false },
        hosts,
        answered: new Set(),
        best: own,
        finish,
      };
      const repeating = timer.every(REPEAT_MS, () => this.#send(pending));
      const timeout = timer.after(ANSWER_WAIT_MS, finish);
      this.#pending.set(question, pending);
      this.#send(pending);
      if (hosts.length === 0) finish();
    });
  }

  #send({ body, hosts, answered }: PendingQuestion): void {
    for (const to of hosts) {
      if (answered.has(to)) continue;
      sendMessage(this.#options.link, JOB_STATUS_REQUEST, { to, body });
    }
  }

  #onStatus(from: HostId, { question, status }: JobStatusReply): void {
    const pending = this.#pending.get(question);
    if (pending === undefined || !pending.hosts.includes(from)) return;
    pending.answered.add(from);
    pending.best = furtherOf(pending.best, status);
    const isEnded = pending.best?.kind === "ended";
    if (isEnded || pending.answered.size === pending.hosts.length) {
      pending.finish();
    }
  }

  #onQuestion(from: HostId, body: JobStatusRequest): void {
    const { id, account, question, isFetched } = body;
    if (isFetched) return this.#forgetHere(id, account);
    const status = this.#statusHere(id, account);
    sendMessage(this.#options.link, JOB_STATUS_REPLY, {
      to: from,
      body: { question, ...(status && { status }) },
    });
  }

  #forgetHere(id: JobId, account: ClientAccountId): void {
    const { store, lifecycle } = this.#options;
    const record = store.find(id);
    if (record?.job.account !== account) return;
    if (record.answer !== undefined) lifecycle.remove(record);
  }

  #statusHere(id: JobId, account: ClientAccountId): JobStatus | undefined {
    const record = this.#options.store.find(id);
    // Another account's job is no job at all, so that nobody learns of it.
    if (record?.job.account !== account) return undefined;
    return statusOf(record);
  }

  #hostsOf(id: JobId): HostId[] {
    const { link, members } = this.#options;
    const byOrder = inRendezvousOrder(id, members.availableMembers())
      .slice(0, MAX_HOSTS_BY_ORDER)
      .map(({ host }) => host);
    const named = hostsInId(id).filter((host) =>
      members.find(host) !== undefined
    );
    const hosts = new Set([...named, ...byOrder]);
    hosts.delete(link.self);
    return [...hosts];
  }
}

function statusOf(record: JobRecord): JobStatus | undefined {
  if (record.answer !== undefined) {
    return { kind: "ended", answer: record.answer };
  }
  const dispatch = record.outcome && knownDispatchOf(record);
  if (dispatch) return { kind: "running", upstream: dispatch.upstream };
  return record.epoch === undefined ? undefined : { kind: "waiting" };
}

function resultOf(
  { best, answered, hosts }: PendingQuestion,
): Result<JobStatus, JobLookUpError> {
  if (best !== undefined) return ok(best);
  const haveAllAnswered = answered.size === hosts.length;
  return err({ kind: haveAllAnswered ? "not-found" : "unreachable" });
}

const PROGRESS = { waiting: 0, running: 1, ended: 2 } as const;

/** The status that is further on; a whole answer beats an ending without one. */
function furtherOf(
  left: JobStatus | undefined,
  right: JobStatus | undefined,
): JobStatus | undefined {
  if (left === undefined || right === undefined) return left ?? right;
  if (left.kind === "ended" && right.kind === "ended") {
    return left.answer.ending === "whole" ? left : right;
  }
  return PROGRESS[left.kind] >= PROGRESS[right.kind] ? left : right;
}
