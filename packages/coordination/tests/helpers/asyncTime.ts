import type { Milliseconds, VirtualTimer } from "@wasabivane/common";

/** Advances virtual time in steps and lets promises settle after each one. */
export async function advance(
  timer: VirtualTimer,
  span: Milliseconds,
  { grain = 1 }: { grain?: Milliseconds } = {},
): Promise<void> {
  const end = timer.now() + span;
  for (let step = timer.now(); step < end; step += grain) {
    timer.runUntil(Math.min(end, step + grain));
    await settle();
  }
}

/** Lets resolved promises run their callbacks. */
export async function settle(): Promise<void> {
  for (let turn = 0; turn < 4; turn++) await Promise.resolve();
}
