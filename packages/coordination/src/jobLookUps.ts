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

const REPLY_TIMEOUT_MS: Milliseconds = 1_000;
const RESEND_MS: Milliseconds = 250;
/**
 * Hosts that are asked in addition to those in the id, in the job's rendezvous
 * order, which moves follow.
 */
const MAX_HOSTS_BY_ORDER = 6;

interface PendingRequest {
  readonly body: JobStatusRequest;
  readonly hosts: readonly HostId[];
  readonly replied: Set<HostId>;
  best: JobStatus | undefined;
  readonly finish: () => void;
}

/** Dependencies of {@link JobLookUps}. */
export interface JobLookUpsOptions {
  readonly link: PeerLink;
  readonly timer: Timer;
  readonly store: JobStore;
  readonly members: JobMembers;
  readonly lifecycle: JobLifecycle;
}

/**
 * Looks up jobs at the hosts that may hold them, for their own client account
 * only.
 */
export class JobLookUps {
  readonly #options: JobLookUpsOptions;
  readonly #pending = new Map<number, PendingRequest>();
  #lastRequest = 0;

  constructor(options: JobLookUpsOptions) {
    this.#options = options;
  }

  start(): (() => void)[] {
    const { link } = this.#options;
    return [
      subscribeMessage(
        link,
        JOB_STATUS_REQUEST,
        (from, body) => this.#onRequest(from, body),
      ),
      subscribeMessage(
        link,
        JOB_STATUS_REPLY,
        (from, body) => this.#onStatus(from, body),
      ),
    ];
  }

  /**
   * Returns the status known here if the job has ended; otherwise asks other
   * hosts too.
   */
  lookUp(
    id: JobId,
    account: ClientAccountId,
  ): Promise<Result<JobStatus, JobLookUpError>> {
    const own = this.#localStatus(id, account);
    if (own?.kind === "ended") return Promise.resolve(ok(own));
    return this.#request(id, { account, own });
  }

  /** Tells every host that may hold the job to delete it. */
  recordFetched(id: JobId, account: ClientAccountId): void {
    const { link } = this.#options;
    this.#removeLocally(id, account);
    const body = { id, account, question: 0, isFetched: true };
    for (const to of this.#hostsToAsk(id)) {
      sendMessage(link, JOB_STATUS_REQUEST, { to, body });
    }
  }

  #request(
    id: JobId,
    { account, own }: {
      account: ClientAccountId;
      own: JobStatus | undefined;
    },
  ): Promise<Result<JobStatus, JobLookUpError>> {
    const { timer } = this.#options;
    const hosts = this.#hostsToAsk(id);
    const question = ++this.#lastRequest;
    return new Promise((resolve) => {
      const finish = (): void => {
        repeating.cancel();
        timeout.cancel();
        this.#pending.delete(question);
        resolve(lookUpResult(pending));
      };
      const pending: PendingRequest = {
        body: { id, account, question, isFetched: false },
        hosts,
        replied: new Set(),
        best: own,
        finish,
      };
      const repeating = timer.every(RESEND_MS, () => this.#send(pending));
      const timeout = timer.after(REPLY_TIMEOUT_MS, finish);
      this.#pending.set(question, pending);
      this.#send(pending);
      if (hosts.length === 0) finish();
    });
  }

  #send({ body, hosts, replied }: PendingRequest): void {
    for (const to of hosts) {
      if (replied.has(to)) continue;
      sendMessage(this.#options.link, JOB_STATUS_REQUEST, { to, body });
    }
  }

  #onStatus(from: HostId, { question, status }: JobStatusReply): void {
    const pending = this.#pending.get(question);
    if (pending === undefined || !pending.hosts.includes(from)) return;
    pending.replied.add(from);
    pending.best = laterStatus(pending.best, status);
    const isEnded = pending.best?.kind === "ended";
    if (isEnded || pending.replied.size === pending.hosts.length) {
      pending.finish();
    }
  }

  #onRequest(from: HostId, body: JobStatusRequest): void {
    const { id, account, question, isFetched } = body;
    if (isFetched) return this.#removeLocally(id, account);
    const status = this.#localStatus(id, account);
    sendMessage(this.#options.link, JOB_STATUS_REPLY, {
      to: from,
      body: { question, ...(status && { status }) },
    });
  }

  #removeLocally(id: JobId, account: ClientAccountId): void {
    const { store, lifecycle } = this.#options;
    const record = store.find(id);
    if (record?.job.account !== account) return;
    if (record.response !== undefined) lifecycle.remove(record);
  }

  #localStatus(id: JobId, account: ClientAccountId): JobStatus | undefined {
    const record = this.#options.store.find(id);
    // Jobs of other accounts are treated as unknown, so as not to reveal that
    // they exist.
    if (record?.job.account !== account) return undefined;
    return statusOf(record);
  }

  #hostsToAsk(id: JobId): HostId[] {
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
  if (record.response !== undefined) {
    return { kind: "ended", answer: record.response };
  }
  const dispatch = record.outcome && knownDispatchOf(record);
  if (dispatch) return { kind: "running", upstream: dispatch.upstream };
  return record.epoch === undefined ? undefined : { kind: "waiting" };
}

function lookUpResult(
  { best, replied, hosts }: PendingRequest,
): Result<JobStatus, JobLookUpError> {
  if (best !== undefined) return ok(best);
  const haveAllReplied = replied.size === hosts.length;
  return err({ kind: haveAllReplied ? "not-found" : "unreachable" });
}

const STATUS_ORDER = { waiting: 0, running: 1, ended: 2 } as const;

/**
 * Returns the more advanced status; a complete response is preferred over an
 * ending without one.
 */
function laterStatus(
  left: JobStatus | undefined,
  right: JobStatus | undefined,
): JobStatus | undefined {
  if (left === undefined || right === undefined) return left ?? right;
  if (left.kind === "ended" && right.kind === "ended") {
    return left.answer.ending === "whole" ? left : right;
  }
  return STATUS_ORDER[left.kind] >= STATUS_ORDER[right.kind] ? left : right;
}
