import { type SlopeDefinition, SLOPES } from "@wasabivane/proof";
import { fitSlope } from "@wasabivane/proof";
import test from "ava";

const DEFINITION: SlopeDefinition = {
  name: "line",
  unit: "bytes",
  per: "hosts",
  targetX: 100,
  isExact: true,
};

test("a fit of collinear points has no residual and is extrapolated to the target", (t) => {
  const slope = fitSlope({ ...DEFINITION, budget: 210 }, [[1, 12], [2, 14], [
    4,
    18,
  ]]);
  t.is(slope.fit.intercept, 10);
  t.is(slope.fit.slope, 2);
  t.true(slope.fit.residual < 1e-12);
  t.is(slope.r2, 1);
  t.is(slope.atTarget, 210);
  t.true(slope.holds);
});

test("points below the fitted range are kept but not fitted", (t) => {
  const slope = fitSlope(
    { ...DEFINITION, fromX: 32, budget: 7 },
    [[2, 1], [16, 15], [32, 8], [64, 8]],
  );
  t.is(slope.points.length, 4);
  t.is(slope.atTarget, 8);
  t.false(slope.holds);
});

test("a measurement at the target takes precedence over the fit", (t) => {
  const slope = fitSlope(DEFINITION, [[50, 1], [75, 2], [100, 9]]);
  t.is(slope.atTarget, 9);
  t.is(slope.holds, null);
  t.true(slope.r2 < 1);
});

test("every slope has a unique name and a target", (t) => {
  const names = SLOPES.map(({ name }) => name);
  t.is(new Set(names).size, names.length);
  t.true(SLOPES.every(({ targetX }) => targetX > 0));
});
