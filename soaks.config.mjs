/** Runs tests that load all cores one after the other, beside no others. */
import { OPTIONS, SOAKS } from "./ava.config.mjs";

export default { ...OPTIONS, concurrency: 1, files: SOAKS };
