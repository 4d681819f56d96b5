import type { Milliseconds, VirtualTimer } from "@wasabivane/common";

/** Moves virtual time and lets promises settle after each call that is due. */
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

/** Lets promises settle that are ready. */
export async function settle(): Promise<void> {
  for (let turn = 0; turn < 4; turn++) await Promise.resolve();
}
