/** Options that all tests share. */
export const OPTIONS = {
  extensions: { ts: "module" },
  nodeArguments: ["--import=tsx", "--conditions=source"],
  workerThreads: false,
  timeout: "120s",
};

/** Tests that load all cores, see `soaks.config.mjs`. */
export const SOAKS = [
  "platform/tests/floods.test.ts",
  "platform/tests/stops.test.ts",
];

export default {
  ...OPTIONS,
  concurrency: 6,
  files: [
    "packages/*/tests/**/*.test.ts",
    "apps/*/tests/**/*.test.ts",
    "platform/tests/**/*.test.ts",
    ...SOAKS.map((path) => `!${path}`),
  ],
};
