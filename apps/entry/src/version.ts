import { readFileSync } from "node:fs";

const PACKAGE_FILE = new URL("../package.json", import.meta.url);

/** Version of this package, as `--version` prints it. */
export const VERSION: string =
  JSON.parse(readFileSync(PACKAGE_FILE, "utf8")).version;
