import { readFileSync } from "node:fs";

const PACKAGE_FILE = new URL("../package.json", import.meta.url);

/** The version of this package, which `--version` prints. */
export const VERSION: string =
  JSON.parse(readFileSync(PACKAGE_FILE, "utf8")).version;
