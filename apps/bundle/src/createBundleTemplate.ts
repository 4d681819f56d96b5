import {
  type Bundle,
  exampleBundle,
  type ExampleDeployment,
} from "@wasabivane/bundle";

/** Comments above the top-level keys of a new bundle. */
const KEY_COMMENTS: Partial<Record<keyof Bundle, readonly string[]>> = {
  version: ["Raise it with every change; entry hosts never go back."],
  failureDomains: ["Groups of hosts that can be lost together."],
  domainDistanceMs: [
    "One-way time between failure domains, as a routing distance.",
  ],
  tiers: [
    "1 is the most urgent; a lower tier is always shed first. The deadline holds",
    "where a caller names none; the weight counts in reports over all tiers.",
  ],
  services: ["Model services are reached by model name, plain ones by path."],
  upstreams: [
    "One entry per replica. The hardware generation only seeds the estimate of",
    "its speed. fencing says whether it refuses orders with an old number.",
  ],
  clientAccounts: [
    "keyDigests are SHA-256 digests of API keys; two are valid during a change.",
    "These are digests of the demo keys: replace them before going live.",
  ],
  stopPlans: [
    "How an entry host stops; every bound counts from the order to stop.",
  ],
};

const INDENT = "  ";

/** Creates a bundle as JSON with comments, for operators to edit. */
export function createBundleTemplate(deployment: ExampleDeployment): string {
  const bundle = exampleBundle(deployment);
  const members = Object.entries(bundle).map(([key, value]) => {
    const comments = KEY_COMMENTS[key as keyof Bundle] ?? [];
    const lines = comments.map((comment) => `${INDENT}// ${comment}\n`);
    return `${lines.join("")}${INDENT}${JSON.stringify(key)}: ${
      formatMember(value)
    }`;
  });
  const head =
    `// Bundle of the ${deployment} deployment. Sign it with \`wasabivane-bundle sign\`.\n`;
  return `${head}{\n${members.join(",\n")}\n}\n`;
}

function formatMember(value: unknown): string {
  if (!Array.isArray(value)) return JSON.stringify(value);
  const items = value.map((item) => `${INDENT}${INDENT}${formatRecord(item)}`);
  return `[\n${items.join(",\n")}\n${INDENT}]`;
}

/** Formats a short record on one line and a long one with one key per line. */
function formatRecord(record: unknown): string {
  const line = formatInline(record);
  if (line.length <= 150) return line;
  const members = Object.entries(record as object).map(([key, value]) =>
    `${INDENT.repeat(3)}${JSON.stringify(key)}: ${formatInline(value)}`
  );
  return `{\n${members.join(",\n")}\n${INDENT}${INDENT}}`;
}

/** Formats JSON on one line, with spaces between tokens. */
function formatInline(value: unknown): string {
  if (Array.isArray(value)) return `[${value.map(formatInline).join(", ")}]`;
  if (typeof value !== "object" || value === null) return JSON.stringify(value);
  const members = Object.entries(value).map(([key, member]) =>
    `${JSON.stringify(key)}: ${formatInline(member)}`
  );
  return members.length === 0 ? "{}" : `{ ${members.join(", ")} }`;
}
