import process from "node:process";
import { checkModel } from "./modelCheck.ts";
import { LARGE_SCOPES, SMALL_SCOPES } from "./modelScopes.ts";

/** Limit of explored states; a larger exploration is reported as incomplete. */
const MAX_STATES = 400_000;

/** Explores all scopes and prints one JSON line for each. */
function main(): void {
  const scopes = [
    ...Object.entries(SMALL_SCOPES).map(([name, scope]) => ({
      name: `${name}, small`,
      scope,
    })),
    ...Object.entries(LARGE_SCOPES).map(([name, scope]) => ({
      name: `${name}, large`,
      scope,
    })),
  ];
  for (const { name, scope } of scopes) {
    const result = checkModel({ ...scope, maximumStates: MAX_STATES });
    process.stdout.write(`${JSON.stringify({ name, ...result })}\n`);
    if (result.violation !== undefined) process.exitCode = 1;
  }
}

main();
