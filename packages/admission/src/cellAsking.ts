import type { HostId, Incarnation, Milliseconds } from "@wasabivane/common";
import { type Cell, type CellKey, cellKeyOf } from "./cells.ts";
import type { PlaceAnswer, PlaceAsk, PlaceVerdict } from "./cellMessages.ts";
import type { AttemptLesson } from "./upstreamKnowledge.ts";

/** An answer takes a few milliseconds; a datagram that was lost is sent again then. */
const REPEAT_MS: Milliseconds = 30;
/**
 * A keeper that has not answered for so long is dead, cut off or too busy. Small
 * machines pause for most of a tenth of a second when their share is used up; the
 * shortest targets are a seventh of a second.
 */
const SILENCE_MS: Milliseconds = 100;
/** A waiting request is asked for so often; a lost verdict costs no more. */
const POLL_MS: Milliseconds = 100;
/** Work is confirmed so often; keepers forget a host after two seconds. */
const CONFIRM_MS: Milliseconds = 500;
/** A cell that this host has no business with is forgotten. */
const IDLE_MS: Milliseconds = 2_000;
/** Lessons that are kept for a keeper that does not answer. */
const MAXIMUM_LESSONS = 16;

/** Why a keeper is passed over. */
export type KeeperSilence = "silent" | "leaving";

/** What a host has to do about a cell now. */
export type AskingDue = "nothing" | "ask" | "passed-over" | "over";

interface UnansweredAsk {
  readonly sequence: number;
  readonly sentAt: Milliseconds;
}

/** One host's conversation with whoever keeps a cell. */
export class CellAsking {
  readonly cell: Cell;
  readonly key: CellKey;
  #keeper: HostId | undefined;
  #keeperIncarnation: Incarnation | undefined;
  #sequence = 0;
  #verdictsSeen = 0;
  #lessons: AttemptLesson[] = [];
  #lessonsFrom = 1;
  /** Asks that want an answer and have none, the oldest first. */
  #unanswered: UnansweredAsk[] = [];
  #sentAt: Milliseconds = -Infinity;
  #silentKeepers = 0;

  constructor(cell: Cell) {
    this.cell = cell;
    this.key = cellKeyOf(cell);
  }

  get keeper(): HostId | undefined {
    return this.#keeper;
  }

  get isUnanswered(): boolean {
    return this.#unanswered.length > 0;
  }

  /** Keepers that did not answer, one after the other. */
  get silentKeepers(): number {
    return this.#silentKeepers;
  }

  /** An attempt in this cell ended. */
  learned(lesson: AttemptLesson): void {
    this.#lessons.push(lesson);
    if (this.#lessons.length <= MAXIMUM_LESSONS) return;
    this.#lessons.shift();
    this.#lessonsFrom++;
  }

  /** The next ask, but for what the host knows itself. */
  compose(
    { keeper, wantsAnswer, now }: {
      keeper: HostId;
      wantsAnswer: boolean;
      now: Milliseconds;
    },
  ): Omit<PlaceAsk, "host" | "incarnation" | "inFlight" | "wishes"> {
    if (keeper !== this.#keeper) this.#turnTo(keeper);
    const sequence = ++this.#sequence;
    if (wantsAnswer) this.#unanswered.push({ sequence, sentAt: now });
    this.#sentAt = now;
    return {
      cell: this.cell,
      sequence,
      lessons: [...this.#lessons],
      lessonsFrom: this.#lessonsFrom,
      verdictsSeen: this.#verdictsSeen,
      wantsAnswer,
    };
  }

  /** Takes in an answer; gives back the verdicts that are new, or `undefined` for one that is not the keeper's. */
  hear(answer: PlaceAnswer): PlaceVerdict[] | undefined {
    if (answer.host !== this.#keeper) return undefined;
    if (answer.incarnation !== this.#keeperIncarnation) {
      this.#keeperIncarnation = answer.incarnation;
      this.#verdictsSeen = 0;
    }
    this.#silentKeepers = 0;
    this.#unanswered = this.#unanswered.filter(({ sequence }) =>
      sequence > answer.sequence
    );
    const known = answer.lessonsSeen - this.#lessonsFrom + 1;
    if (known > 0) {
      this.#lessons.splice(0, known);
      this.#lessonsFrom = answer.lessonsSeen + 1;
    }
    const fresh = answer.verdicts.filter(({ number }) =>
      number > this.#verdictsSeen
    );
    this.#verdictsSeen = Math.max(
      this.#verdictsSeen,
      ...fresh.map(({ number }) => number),
    );
    return fresh;
  }

  /** What is due, by what this host has to do with the cell. */
  due(
    { isWaiting, hasWork, now }: {
      isWaiting: boolean;
      hasWork: boolean;
      now: Milliseconds;
    },
  ): AskingDue {
    const sinceSent = now - this.#sentAt;
    const [oldest] = this.#unanswered;
    if (oldest !== undefined) {
      if (now - oldest.sentAt >= SILENCE_MS) return "passed-over";
      return sinceSent >= REPEAT_MS ? "ask" : "nothing";
    }
    if (isWaiting && sinceSent >= POLL_MS) return "ask";
    if (hasWork && sinceSent >= CONFIRM_MS) return "ask";
    return !hasWork && sinceSent >= IDLE_MS ? "over" : "nothing";
  }

  /** The keeper does not answer, or stops. */
  notePassedOver(kind: KeeperSilence): void {
    if (kind === "silent") this.#silentKeepers++;
    this.#unanswered = [];
  }

  /** Nobody answers; the next ask begins anew. */
  giveUp(): void {
    this.#silentKeepers = 0;
    this.#unanswered = [];
  }

  #turnTo(keeper: HostId): void {
    this.#keeper = keeper;
    this.#keeperIncarnation = undefined;
    this.#verdictsSeen = 0;
    this.#unanswered = [];
  }
}
