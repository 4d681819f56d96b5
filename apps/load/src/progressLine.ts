import type { Milliseconds, Timer } from "@wasabivane/common";
import type { LoadProgress } from "./runLoad.ts";

/** Time before the first progress is shown. */
const SHOW_DELAY_MS = 2_000;
const REFRESH_MS = 200;
const CLEAR_LINE = "\r\u001b[K";

/** Options of a {@link ProgressLine}. */
export interface ProgressLineOptions {
  timer: Timer;
  /** Writes to the terminal. */
  write: (text: string) => void;
}

/** Shows the progress of a run on one terminal line. */
export class ProgressLine {
  readonly #timer: Timer;
  readonly #write: (text: string) => void;
  readonly #startedAt: Milliseconds;
  #shownAt = -Infinity;

  constructor({ timer, write }: ProgressLineOptions) {
    this.#timer = timer;
    this.#write = write;
    this.#startedAt = timer.now();
  }

  show({ planned, sent, ended }: LoadProgress): void {
    const now = this.#timer.now();
    if (now - this.#startedAt < SHOW_DELAY_MS) return;
    if (now - this.#shownAt < REFRESH_MS) return;
    this.#shownAt = now;
    this.#write(`${CLEAR_LINE}${ended} of ${planned} ended, ${sent} sent`);
  }

  clear(): void {
    if (this.#shownAt > -Infinity) this.#write(CLEAR_LINE);
  }
}
