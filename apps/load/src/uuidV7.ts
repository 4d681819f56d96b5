import type { EpochMilliseconds, Random } from "@wasabivane/common";

const TIME_DIGITS = 12;
const VARIANT_BITS = 0x8;

/** Creates a version 7 UUID (RFC 9562) from a timestamp and random bits. */
export function uuidV7(now: EpochMilliseconds, random: Random): string {
  const time = Math.floor(now).toString(16).padStart(TIME_DIGITS, "0");
  const bits = random.hex(10);
  const variant = (VARIANT_BITS | random.int(4)).toString(16);
  return [
    time.slice(0, 8),
    time.slice(8),
    `7${bits.slice(0, 3)}`,
    `${variant}${bits.slice(3, 6)}`,
    bits.slice(6, 18),
  ].join("-");
}
