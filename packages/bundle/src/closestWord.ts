/** Words with more edits than this are too different to suggest. */
const MAX_EDITS_PER_LETTER = 1 / 3;

/** Returns the most similar candidate, if one is a plausible correction. */
export function closestWord(
  word: string,
  candidates: Iterable<string>,
): string | undefined {
  let closest: string | undefined;
  let fewest = Math.max(1, Math.floor(word.length * MAX_EDITS_PER_LETTER)) + 1;
  for (const candidate of candidates) {
    const edits = editDistance(word.toLowerCase(), candidate.toLowerCase());
    if (edits >= fewest) continue;
    fewest = edits;
    closest = candidate;
  }
  return closest;
}

/** Computes the optimal string alignment distance (a swap is one edit). */
function editDistance(left: string, right: string): number {
  let beforePrevious: number[] = [];
  let previous = Array.from({ length: right.length + 1 }, (_, index) => index);
  for (let row = 1; row <= left.length; row++) {
    const current = [row];
    for (let column = 1; column <= right.length; column++) {
      const isSame = left[row - 1] === right[column - 1];
      const edits = Math.min(
        previous[column]! + 1,
        current[column - 1]! + 1,
        previous[column - 1]! + (isSame ? 0 : 1),
      );
      const isSwap = row > 1 && column > 1 &&
        left[row - 1] === right[column - 2] &&
        left[row - 2] === right[column - 1];
      current[column] = isSwap
        ? Math.min(edits, beforePrevious[column - 2]! + 1)
        : edits;
    }
    beforePrevious = previous;
    previous = current;
  }
  return previous[right.length]!;
}
