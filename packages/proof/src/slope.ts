/** A measured point: a size and the cost at that size. */
export type SlopePoint = readonly [number, number];

/** Linear least-squares fit of the points. */
export interface SlopeFit {
  readonly model: "linear";
  readonly intercept: number;
  readonly slope: number;
  /** Lowest x of the fitted points. */
  readonly fromX: number;
  /**
   * Maximum distance of a fitted point from the line, as a share of maximum y.
   */
  readonly residual: number;
}

/** Definition of a measured slope: the growth of a cost with a size. */
export interface SlopeDefinition {
  readonly name: string;
  /** Unit of y. */
  readonly unit: string;
  /** Quantity on the x axis. */
  readonly per: string;
  /** x at the target deployment. */
  readonly targetX: number;
  /** Upper limit of y at the target, if there is one. */
  readonly budget?: number;
  /** Lowest x to fit, where smaller deployments scale differently. */
  readonly fromX?: number;
  /** Whether y is deterministic instead of dependent on the machine. */
  readonly isExact: boolean;
}

/** A measured slope, as printed by `npm run slopes -- --json`. */
export interface Slope {
  readonly name: string;
  readonly unit: string;
  readonly per: string;
  readonly isExact: boolean;
  readonly points: readonly SlopePoint[];
  readonly fit: SlopeFit;
  /** Coefficient of determination; 1 if y is constant. */
  readonly r2: number;
  readonly targetX: number;
  /** y at the target, measured if possible, else extrapolated. */
  readonly atTarget: number;
  readonly budget: number | null;
  /** Whether y at the target is within the budget; `null` without a budget. */
  readonly holds: boolean | null;
}

const SIGNIFICANT_DIGITS = 6;

/** Fits a line to the points and extrapolates it to the target. */
export function fitSlope(
  definition: SlopeDefinition,
  points: readonly SlopePoint[],
): Slope {
  const { name, unit, per, isExact, targetX, budget, fromX = 0 } = definition;
  const fitted = points.filter(([x]) => x >= fromX);
  const { intercept, slope } = leastSquares(fitted);
  const line = (x: number): number => intercept + slope * x;
  const measured = points.find(([x]) => x === targetX);
  const atTarget = roundSignificant(measured?.[1] ?? line(targetX));
  return {
    name,
    unit,
    per,
    isExact,
    points: points.map(([x, y]) => [x, roundSignificant(y)]),
    fit: {
      model: "linear",
      intercept: roundSignificant(intercept),
      slope: roundSignificant(slope),
      fromX,
      residual: roundSignificant(computeResidual(fitted, line)),
    },
    r2: roundSignificant(computeR2(fitted, line)),
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

function computeR2(
  points: readonly SlopePoint[],
  line: (x: number) => number,
): number {
  const meanY = mean(points.map(([, y]) => y));
  const total = sum(points.map(([, y]) => (y - meanY) ** 2));
  const residualSum = sum(points.map(([x, y]) => (y - line(x)) ** 2));
  return total === 0 ? 1 : 1 - residualSum / total;
}

function computeResidual(
  points: readonly SlopePoint[],
  line: (x: number) => number,
): number {
  const maximumY = Math.max(...points.map(([, y]) => Math.abs(y)));
  const distances = points.map(([x, y]) => Math.abs(y - line(x)));
  return maximumY === 0 ? 0 : Math.max(...distances) / maximumY;
}

function mean(values: readonly number[]): number {
  return sum(values) / values.length;
}

function sum(values: readonly number[]): number {
  return values.reduce((total, value) => total + value, 0);
}

function roundSignificant(value: number): number {
  return Number(value.toPrecision(SIGNIFICANT_DIGITS));
}
