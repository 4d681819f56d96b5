/** One measured pair: how much of something there is, and what it costs. */
export type SlopePoint = readonly [number, number];

/** A straight line through the points, by least squares. */
export interface SlopeFit {
  readonly model: "linear";
  readonly intercept: number;
  readonly slope: number;
  /** The fit leaves out points below this x, where another regime holds. */
  readonly fromX: number;
  /** Greatest distance of a fitted point from the line, as a share of the greatest y. */
  readonly residual: number;
}

/** What is measured, and what it has to fit into. */
export interface SlopeDefinition {
  readonly name: string;
  /** Unit of y. */
  readonly unit: string;
  /** What x counts. */
  readonly per: string;
  /** x at the users' target. */
  readonly targetX: number;
  /** Bound on y at the target, where there is one. */
  readonly budget?: number;
  /** Points below this x belong to another regime. */
  readonly fromX?: number;
  /** Whether y repeats exactly; the others are times and sizes of this machine. */
  readonly isExact: boolean;
}

/** A measured slope, as `npm run slopes -- --json` prints it. */
export interface Slope {
  readonly name: string;
  readonly unit: string;
  readonly per: string;
  readonly isExact: boolean;
  readonly points: readonly SlopePoint[];
  readonly fit: SlopeFit;
  /** Share of the variance that the line explains; 1 where nothing varies. */
  readonly r2: number;
  readonly targetX: number;
  /** y at the target by the line; the last point where it was measured there. */
  readonly atTarget: number;
  readonly budget: number | null;
  /** Whether the figure at the target is within the budget; null without one. */
  readonly holds: boolean | null;
}

const SIGNIFICANT_DIGITS = 6;

/** Fits a line to the points and extends it to the target. */
export function fitSlope(
  definition: SlopeDefinition,
  points: readonly SlopePoint[],
): Slope {
  const { name, unit, per, isExact, targetX, budget, fromX = 0 } = definition;
  const fitted = points.filter(([x]) => x >= fromX);
  const { intercept, slope } = leastSquares(fitted);
  const line = (x: number): number => intercept + slope * x;
  const measured = points.find(([x]) => x === targetX);
  const atTarget = rounded(measured?.[1] ?? line(targetX));
  return {
    name,
    unit,
    per,
    isExact,
    points: points.map(([x, y]) => [x, rounded(y)]),
    fit: {
      model: "linear",
      intercept: rounded(intercept),
      slope: rounded(slope),
      fromX,
      residual: rounded(residualOf(fitted, line)),
    },
    r2: rounded(determinationOf(fitted, line)),
    targetX,
    atTarget,
    budget: budget ?? null,
    holds: budget === undefined ? null : atTarget <= budget,
  };
}

function leastSquares(
  points: readonly SlopePoint[],
): { intercept: number; slope: number } {
  const meanX = mean(points.map(([x]) => x));
  const meanY = mean(points.map(([, y]) => y));
  let covariance = 0;
  let variance = 0;
  for (const [x, y] of points) {
    covariance += (x - meanX) * (y - meanY);
    variance += (x - meanX) ** 2;
  }
  const slope = variance === 0 ? 0 : covariance / variance;
  return { intercept: meanY - slope * meanX, slope };
}

function determinationOf(
  points: readonly SlopePoint[],
  line: (x: number) => number,
): number {
  const meanY = mean(points.map(([, y]) => y));
  const total = sum(points.map(([, y]) => (y - meanY) ** 2));
  const left = sum(points.map(([x, y]) => (y - line(x)) ** 2));
  return total === 0 ? 1 : 1 - left / total;
}

function residualOf(
  points: readonly SlopePoint[],
  line: (x: number) => number,
): number {
  const greatest = Math.max(...points.map(([, y]) => Math.abs(y)));
  const distances = points.map(([x, y]) => Math.abs(y - line(x)));
  return greatest === 0 ? 0 : Math.max(...distances) / greatest;
}

function mean(values: readonly number[]): number {
  return sum(values) / values.length;
}

function sum(values: readonly number[]): number {
  return values.reduce((total, value) => total + value, 0);
}

function rounded(value: number): number {
  return Number(value.toPrecision(SIGNIFICANT_DIGITS));
}
