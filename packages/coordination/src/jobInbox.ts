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

/** Dependencies of {@link JobInbox}. */
export interface JobInboxOptions {
  readonly self: MemberId;
  readonly link: PeerLink;
  readonly timer: Timer;
  readonly store: JobStore;
  readonly replication: JobReplication;
  readonly outbox: JobOutbox;
  readonly consensus: JobConsensus;
  readonly lifecycle: JobLifecycle;
  /** Tells whether this host accepts new copies. */
  readonly isAcceptingCopies: () => boolean;
}

/** Handles job messages from other members. */
export class JobInbox {
  readonly #options: JobInboxOptions;

  constructor(options: JobInboxOptions) {
    this.#options = options;
  }

  /** Subscribes to all job messages and returns functions that unsubscribe. */
  start(): (() => void)[] {
    const {
      link,
      replication,
      outbox,
      consensus,
      lifecycle,
    } = this.#options;
    return [
      subscribeMessage(
        link,
        JOB_COPY,
        (from, { job }) => this.#onCopy(from, job),
      ),
      subscribeMessage(link, JOB_COPY_REPLY, (from, body) => {
        if (hostOfMember(body.member) === from) replication.onReply(body);
      }),
      subscribeMessage(link, JOB_REGISTER_REQUEST, (from, body) => {
        if (hostOfMember(body.by) === from) consensus.onRequest(body);
      }),
      subscribeMessage(link, JOB_REGISTER_REPLY, (from, body) => {
        if (hostOfMember(body.member) === from) consensus.onReply(body);
      }),
      subscribeMessage(
        link,
        JOB_UPDATE,
        (from, body) => this.#onUpdate(from, body),
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
    const body = { id: job.id, member: self, isHeld: this.#installCopy(job) };
    sendMessage(link, JOB_COPY_REPLY, { to: from, body });
  }

  #installCopy(job: Job): boolean {
    const { timer, store, isAcceptingCopies } = this.#options;
    const record = store.find(job.id);
    if (record !== undefined) {
      store.restoreBody(record, job);
      return true;
    }
    if (!store.canInstall(job.id)) return false;
    if (job.expiresAt <= timer.wallNow()) return false;
    if (!isAcceptingCopies() || !store.hasCapacityFor(job)) return false;
    store.install(job, { now: timer.now() });
    return true;
  }

  #onUpdate(from: HostId, { id, sequence, to, news }: JobUpdateMessage): void {
    const { self, link, store } = this.#options;
    // The update is for a former process on this host.
    if (to !== self) return;
    this.#applyUpdate(id, news);
    const record = store.find(id);
    const isHeld = record !== undefined &&
      (news.kind !== "moved" || record.hasBody);
    const body = { id, sequence, member: self, isHeld };
    sendMessage(link, JOB_UPDATE_ACK, { to: from, body });
  }

  #applyUpdate(id: Job["id"], update: JobUpdate): void {
    const { timer, store, lifecycle } = this.#options;
    const record = store.find(id);
    if (update.kind === "gone") {
      if (record !== undefined) {
        lifecycle.remove(record, { shouldNotify: false });
      }
      return;
    }
    if (update.kind === "moved") {
      if (record !== undefined) lifecycle.adoptEpoch(record, update.epoch);
      return;
    }
    const canApply = record !== undefined ||
      (store.canInstall(id) &&
        update.job.expiresAt > timer.wallNow() &&
        store.hasCapacityFor(update.job));
    if (!canApply) return;
    const now = timer.now();
    const installed = record ??
      store.install(update.job, { now, hasBody: false });
    lifecycle.applyOutcome(installed, { ...update, isFromPeer: true });
  }
}
