import { fitSlope, type Slope, type SlopeDefinition } from "./slope.ts";
import { FLEET_GROUPS } from "./slopeFleetGroups.ts";
import { HOST_GROUPS } from "./slopeHostGroups.ts";

const MILLISECONDS = 1_000;
const GROUPS = [...FLEET_GROUPS, ...HOST_GROUPS];

/** Definitions of all measured slopes. */
export const SLOPES: readonly SlopeDefinition[] = GROUPS.flatMap((
  { definitions },
) => definitions);

/** Options of {@link measureSlopes}. */
export interface SlopesOptions {
  /** Measures only groups with a slope name of this prefix. */
  readonly prefix?: string;
  readonly onGroup?: (names: readonly string[], seconds: number) => void;
}

/** Measures the slopes group by group. */
export async function measureSlopes(
  { prefix = "", onGroup }: SlopesOptions = {},
): Promise<Slope[]> {
  const slopes: Slope[] = [];
  for (const { definitions, measure } of GROUPS) {
    const names = definitions.map(({ name }) => name);
    if (!names.some((name) => name.startsWith(prefix))) continue;
    const startedAt = performance.now();
    const points = await measure();
    onGroup?.(names, (performance.now() - startedAt) / MILLISECONDS);
    slopes.push(
      ...definitions.map((definition) =>
        fitSlope(definition, points[definition.name]!)
      ),
    );
  }
  return slopes;
}
