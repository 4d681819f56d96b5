import type { HostId, PeerLink, Timer } from "@wasabivane/common";
import type { JobLifecycle } from "./jobLifecycle.ts";
import {
  JOB_COPY,
  JOB_COPY_CHECK,
  JOB_COPY_REPLY,
  JOB_REGISTER_REPLY,
  JOB_REGISTER_REQUEST,
  JOB_UPDATE,
  JOB_UPDATE_ACK,
  type JobUpdate,
  type JobUpdateMessage,
} from "./jobMessages.ts";
import type { Job } from "./job.ts";
import type { JobReplication } from "./jobReplication.ts";
import type { JobOutbox } from "./jobOutbox.ts";
import type { JobConsensus } from "./jobConsensus.ts";
import { hostOfMember, type MemberId } from "./jobRegister.ts";
import type { JobStore } from "./jobStore.ts";
import { sendMessage, subscribeMessage } from "./peerMessages.ts";

/** What {@link JobInbox} needs. */
export interface JobInboxOptions {
  readonly self: MemberId;
  readonly link: PeerLink;
  readonly timer: Timer;
  readonly store: JobStore;
  readonly replication: JobReplication;
  readonly outbox: JobOutbox;
  readonly consensus: JobConsensus;
  readonly lifecycle: JobLifecycle;
  /** Whether this host takes new copies. */
  readonly isAcceptingCopies: () => boolean;
}

/** Takes the messages of the other members. */
export class JobInbox {
  readonly #options: JobInboxOptions;

  constructor(options: JobInboxOptions) {
    this.#options = options;
  }

  /** Subscribes to all job messages; the returned functions end it. */
  start(): (() => void)[] {
    const {
      link,
      replication: copying,
      outbox,
      consensus: proposals,
      lifecycle,
    } = this.#options;
    return [
      subscribeMessage(
        link,
        JOB_COPY,
        (from, { job }) => this.#onCopy(from, job),
      ),
      subscribeMessage(link, JOB_COPY_REPLY, (from, body) => {
        if (hostOfMember(body.member) === from) copying.onReply(body);
      }),
      subscribeMessage(link, JOB_REGISTER_REQUEST, (from, body) => {
        if (hostOfMember(body.by) === from) proposals.onRequest(body);
      }),
      subscribeMessage(link, JOB_REGISTER_REPLY, (from, body) => {
        if (hostOfMember(body.member) === from) proposals.onReply(body);
      }),
      subscribeMessage(
        link,
        JOB_UPDATE,
        (from, body) => this.#onNews(from, body),
      ),
      subscribeMessage(link, JOB_UPDATE_ACK, (from, body) => {
        if (hostOfMember(body.member) === from) outbox.acknowledge(body);
      }),
      subscribeMessage(link, JOB_COPY_CHECK, (from, body) => {
        if (hostOfMember(body.by) === from) {
          lifecycle.sendLatestUpdate(body.by, body);
        }
      }),
    ];
  }

  #onCopy(from: HostId, job: Job): void {
    const { self, link } = this.#options;
    const body = { id: job.id, member: self, isHeld: this.#hold(job) };
    sendMessage(link, JOB_COPY_REPLY, { to: from, body });
  }

  #hold(job: Job): boolean {
    const { timer, store, isAcceptingCopies: isOpen } = this.#options;
    const record = store.find(job.id);
    if (record !== undefined) {
      store.restoreBody(record, job);
      return true;
    }
    if (!store.canInstall(job.id)) return false;
    if (job.expiresAt <= timer.wallNow()) return false;
    if (!isOpen() || !store.hasCapacityFor(job)) return false;
    store.install(job, { now: timer.now() });
    return true;
  }

  #onNews(from: HostId, { id, sequence, to, news }: JobUpdateMessage): void {
    const { self, link, store } = this.#options;
    // News for a former process on this host must not touch this one.
    if (to !== self) return;
    this.#take(id, news);
    const record = store.find(id);
    const isHeld = record !== undefined &&
      (news.kind !== "moved" || record.hasBody);
    const body = { id, sequence, member: self, isHeld };
    sendMessage(link, JOB_UPDATE_ACK, { to: from, body });
  }

  #take(id: Job["id"], news: JobUpdate): void {
    const { timer, store, lifecycle } = this.#options;
    const record = store.find(id);
    if (news.kind === "gone") {
      if (record !== undefined) lifecycle.remove(record, { isTold: false });
      return;
    }
    if (news.kind === "moved") {
      if (record !== undefined) lifecycle.adoptEpoch(record, news.epoch);
      return;
    }
    const isWelcome = record !== undefined ||
      (store.canInstall(id) &&
        news.job.expiresAt > timer.wallNow() && store.hasCapacityFor(news.job));
    if (!isWelcome) return;
    const now = timer.now();
    const settled = record ?? store.install(news.job, { now, hasBody: false });
    lifecycle.applyOutcome(settled, { ...news, isNews: true });
  }
}
