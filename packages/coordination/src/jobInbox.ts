import type { HostId, PeerLink, Timer } from "@wasabivane/common";
import type { JobLifecycle } from "./jobLifecycle.ts";
import {
  JOB_CHECK,
  JOB_COPIED,
  JOB_COPY,
  JOB_NEWS,
  JOB_NOTED,
  JOB_REGISTER,
  JOB_REPLY,
  type JobNews,
  type JobNewsMessage,
} from "./jobMessages.ts";
import type { Job } from "./job.ts";
import type { JobCopying } from "./jobCopying.ts";
import type { JobOutbox } from "./jobOutbox.ts";
import type { JobProposals } from "./jobProposals.ts";
import { hostOf, type MemberId } from "./jobRegister.ts";
import type { JobStore } from "./jobStore.ts";
import { sendMessage, subscribeMessage } from "./peerMessages.ts";

/** What {@link JobInbox} needs. */
export interface JobInboxOptions {
  readonly self: MemberId;
  readonly link: PeerLink;
  readonly timer: Timer;
  readonly store: JobStore;
  readonly copying: JobCopying;
  readonly outbox: JobOutbox;
  readonly proposals: JobProposals;
  readonly lifecycle: JobLifecycle;
  /** Whether this host takes new copies. */
  readonly isOpen: () => boolean;
}

/** Takes the messages of the other members. */
export class JobInbox {
  readonly #options: JobInboxOptions;

  constructor(options: JobInboxOptions) {
    this.#options = options;
  }

  /** Subscribes to all job messages; the returned functions end it. */
  start(): (() => void)[] {
    const { link, copying, outbox, proposals, lifecycle } = this.#options;
    return [
      subscribeMessage(
        link,
        JOB_COPY,
        (from, { job }) => this.#onCopy(from, job),
      ),
      subscribeMessage(link, JOB_COPIED, (from, body) => {
        if (hostOf(body.member) === from) copying.take(body);
      }),
      subscribeMessage(link, JOB_REGISTER, (from, body) => {
        if (hostOf(body.by) === from) proposals.onRequest(body);
      }),
      subscribeMessage(link, JOB_REPLY, (from, body) => {
        if (hostOf(body.member) === from) proposals.onReply(body);
      }),
      subscribeMessage(
        link,
        JOB_NEWS,
        (from, body) => this.#onNews(from, body),
      ),
      subscribeMessage(link, JOB_NOTED, (from, body) => {
        if (hostOf(body.member) === from) outbox.take(body);
      }),
      subscribeMessage(link, JOB_CHECK, (from, body) => {
        if (hostOf(body.by) === from) lifecycle.tellLatest(body.by, body);
      }),
    ];
  }

  #onCopy(from: HostId, job: Job): void {
    const { self, link } = this.#options;
    const body = { id: job.id, member: self, isHeld: this.#hold(job) };
    sendMessage(link, JOB_COPIED, { to: from, body });
  }

  #hold(job: Job): boolean {
    const { timer, store, isOpen } = this.#options;
    const record = store.find(job.id);
    if (record !== undefined) {
      store.restoreBody(record, job);
      return true;
    }
    if (!store.isWelcome(job.id)) return false;
    if (job.expiresAt <= timer.wallNow()) return false;
    if (!isOpen() || !store.hasRoomFor(job)) return false;
    store.install(job, { now: timer.now() });
    return true;
  }

  #onNews(from: HostId, { id, sequence, to, news }: JobNewsMessage): void {
    const { self, link, store } = this.#options;
    // News for a former process on this host must not touch this one.
    if (to !== self) return;
    this.#take(id, news);
    const record = store.find(id);
    const isHeld = record !== undefined &&
      (news.kind !== "moved" || record.hasBody);
    const body = { id, sequence, member: self, isHeld };
    sendMessage(link, JOB_NOTED, { to: from, body });
  }

  #take(id: Job["id"], news: JobNews): void {
    const { timer, store, lifecycle } = this.#options;
    const record = store.find(id);
    if (news.kind === "gone") {
      if (record !== undefined) lifecycle.forget(record, { isTold: false });
      return;
    }
    if (news.kind === "moved") {
      if (record !== undefined) lifecycle.confirm(record, news.epoch);
      return;
    }
    const isWelcome = record !== undefined ||
      (store.isWelcome(id) &&
        news.job.expiresAt > timer.wallNow() && store.hasRoomFor(news.job));
    if (!isWelcome) return;
    const now = timer.now();
    const settled = record ?? store.install(news.job, { now, hasBody: false });
    lifecycle.settle(settled, { ...news, isNews: true });
  }
}
