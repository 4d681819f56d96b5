import {
  CHANGES_PER_SECOND,
  REQUESTS_PER_HOST,
  type Slope,
  STREAMS_PER_HOST,
  TARGET,
  TOKENS_PER_HOST,
} from "@wasabivane/proof";

/** Holds the cells of one Markdown table row. */
export type TableRow = readonly string[];

const MICROSECONDS_PER_MS = 1_000;
const BYTES_PER_MEBIBYTE = 1024 * 1024;
const SECONDS_PER_DAY = 86_400;
/** Leaves a third of a core for bursts. */
const USABLE_CORE_MS_PER_SECOND = 667;

type SlopeLookup = (name: string) => Slope;

function createSlopeLookup(slopes: readonly Slope[]): SlopeLookup {
  const byName = new Map(slopes.map((slope) => [slope.name, slope]));
  return (name) => {
    const slope = byName.get(name);
    if (slope === undefined) {
      throw new Error(`The slope "${name}" was not measured`);
    }
    return slope;
  };
}

/** Lists the cost of the control plane per host, by component and in total. */
export function controlCostRows(slopes: readonly Slope[]): TableRow[] {
  const slope = createSlopeLookup(slopes);
  const atTarget = (name: string): number => slope(name).atTarget;
  const changesPerSecond = CHANGES_PER_SECOND;
  const fixed = [
    createCostItem(
      "membership",
      atTarget("membership-bytes"),
      atTarget("membership-processor"),
    ),
    createCostItem(
      "configuration, idle",
      atTarget("configuration-idle-bytes"),
      atTarget("configuration-idle-processor"),
    ),
    createCostItem(
      "configuration, changes",
      atTarget("configuration-change-bytes") * changesPerSecond,
      (atTarget("bundle-change") + atTarget("scheduler-policy")) *
        changesPerSecond,
    ),
    createCostItem("pool checksums", atTarget("pool-sync-bytes"), 0),
  ];
  const platformReader = createCostItem(
    "",
    0,
    atTarget("bundle-verify") * changesPerSecond,
  );
  const leaseHolder = createCostItem(
    "view leases",
    atTarget("views-bytes"),
    atTarget("views-processor"),
  );
  const placement = createCostItem(
    "placement requests",
    atTarget("pool-bytes"),
    atTarget("pool-processor"),
  );
  return [
    ["part", "bytes a second", "ms of a core a second", "within 3 KB, 39 ms"],
    ...fixed.map(costRow),
    totalRow("**every host, without its requests**", fixed),
    costRow({
      ...platformReader,
      name: "bundle verification, on the 2 platform readers",
    }),
    totalRow("**a platform reader**", [...fixed, platformReader]),
    costRow({
      ...leaseHolder,
      name: "view leases, on the 15 hosts that hold them",
    }),
    totalRow("**a host that holds leases**", [...fixed, leaseHolder]),
    costRow({
      ...placement,
      name: "placement requests, at 77 requests a second",
    }),
    totalRow("**every host, with its requests**", [...fixed, placement]),
  ];
}

interface CostItem {
  readonly name: string;
  readonly bytes: number;
  readonly processorMs: number;
}

function createCostItem(
  name: string,
  bytes: number,
  processorMs: number,
): CostItem {
  return { name, bytes, processorMs };
}

function costRow({ name, bytes, processorMs }: CostItem): TableRow {
  return [name, formatInteger(bytes), processorMs.toFixed(1), ""];
}

function totalRow(name: string, items: readonly CostItem[]): TableRow {
  const bytes = sum(items.map((item) => item.bytes));
  const processorMs = sum(items.map((item) => item.processorMs));
  const isWithinBudget = bytes <= TARGET.controlBytesPerSecond &&
    processorMs <= TARGET.controlMsPerSecond;
  return [
    name,
    formatInteger(bytes),
    processorMs.toFixed(1),
    formatHolds(isWithinBudget),
  ];
}

/** Lists one row for each figure of the capacity target. */
export function capacityRows(slopes: readonly Slope[]): TableRow[] {
  const slope = createSlopeLookup(slopes);
  const atTarget = (name: string): number => slope(name).atTarget;
  const bytes = sum(
    [
      "membership-bytes",
      "configuration-idle-bytes",
      "pool-sync-bytes",
      "pool-bytes",
    ].map(atTarget),
  ) + atTarget("configuration-change-bytes") * CHANGES_PER_SECOND;
  const processorMs = sum(
    [
      "membership-processor",
      "configuration-idle-processor",
      "pool-processor",
    ].map(atTarget),
  ) +
    (atTarget("bundle-change") + atTarget("scheduler-policy")) *
      CHANGES_PER_SECOND;
  const memory = sum(
    [
      "membership-state",
      "bundle-state",
      "scheduler-upstream-state",
      "scheduler-account-state",
      "scheduler-running-state",
    ].map(atTarget),
  );
  const idleProcessBytes = slope("relay-state").fit.intercept;
  const requestsPerModel = TARGET.requestsPerSecond / TARGET.models;
  const coordinatorMs = requestsPerModel * atTarget("scheduler-decision") /
    MICROSECONDS_PER_MS;
  const processes = Math.ceil(
    atTarget("relay-processor") / USABLE_CORE_MS_PER_SECOND,
  );
  const deathBytesPerSecond = atTarget("membership-death-bytes") *
    TARGET.deathsPerDay /
    TARGET.hosts / SECONDS_PER_DAY;
  const startBytesPerSecond = atTarget("membership-start-bytes") *
    TARGET.replacementsPerDay /
    TARGET.hosts / SECONDS_PER_DAY;
  return [
    [
      "target",
      "mechanism",
      "slope",
      "figure at target",
      "budget",
      "holds",
    ],
    [
      "350 nodes",
      "four monitors and two probes per host",
      "`membership-bytes`",
      `${formatInteger(atTarget("membership-bytes"))} bytes a second`,
      "3,000, shared",
      "yes",
    ],
    [
      "12,000 replicas: published",
      "one bundle in one value",
      "`bundle-bytes`",
      `${formatMebibytes(atTarget("bundle-bytes"))} MiB`,
      "1 MiB",
      formatHolds(slope("bundle-bytes").holds),
    ],
    [
      "12,000 replicas: state",
      "flat state per upstream, sampled choice",
      "`scheduler-upstream-state`",
      `${
        formatMebibytes(atTarget("scheduler-upstream-state"))
      } MiB if one host kept all`,
      "128 MiB, shared",
      formatHolds(slope("scheduler-upstream-state").holds),
    ],
    [
      "24,000 accelerators",
      "the replica is the unit; no state per accelerator",
      "none",
      "0",
      "",
      "yes, by derivation",
    ],
    [
      "27,000 requests a second: bytes",
      "one coordinator per model, reached over the network",
      "`pool-bytes`",
      `${formatInteger(atTarget("pool-bytes"))} bytes a second`,
      "3,000",
      formatHolds(slope("pool-bytes").holds),
    ],
    [
      "27,000 requests a second: coordinator",
      "one coordinator per model",
      "`scheduler-decision`",
      `${formatInteger(coordinatorMs)} ms a second for ${
        formatInteger(requestsPerModel)
      } requests of one model`,
      "39 ms",
      formatHolds(coordinatorMs <= TARGET.controlMsPerSecond),
    ],
    [
      "5.9 million tokens a second",
      "chunks forwarded on arrival",
      "`relay-processor`",
      `${formatInteger(atTarget("relay-processor"))} ms a second for ${
        formatInteger(TOKENS_PER_HOST)
      } tokens: ${processes} processes`,
      "667 ms in a process",
      formatHolds(slope("relay-processor").holds),
    ],
    [
      "first token within 1.8 s for 95 in 100",
      "decision at the coordinator",
      "`scheduler-decision`",
      `${
        formatInteger(atTarget("scheduler-decision"))
      } µs and one round trip between hosts`,
      "1.8 s, including the engine",
      "not shown: no engine load of this size was run",
    ],
    [
      "40 ms between tokens for 95 in 100",
      "relay without buffering",
      "`relay-processor`",
      `${
        formatInteger(atTarget("relay-processor") / processes)
      } ms a second in each of ${formatInteger(processes)} processes`,
      "667 ms in a process",
      "not shown: gaps were not measured at this load",
    ],
    [
      "3 generations, 4 tiers",
      "samples by generation, queues by tier",
      "`scheduler-decision`",
      `${formatInteger(atTarget("scheduler-decision"))} µs a request with both`,
      "506 µs",
      formatHolds(slope("scheduler-decision").holds),
    ],
    [
      "1,100 client accounts",
      "token buckets and queues created on first use",
      "`scheduler-account-state`",
      `${
        formatMebibytes(atTarget("scheduler-account-state"))
      } MiB in a coordinator`,
      "128 MiB, shared",
      formatHolds(slope("scheduler-account-state").holds),
    ],
    [
      "14 models",
      "one checksum per pool in use",
      "`pool-sync-bytes`",
      `${formatInteger(atTarget("pool-sync-bytes"))} bytes a second`,
      "3,000, shared",
      "yes",
    ],
    [
      "12 regions, 34 failure domains",
      "one fleet over all of them",
      "none",
      "not measured: links here take 1 ms",
      "",
      "not shown",
    ],
    [
      "58,000 changes a day: in force within 6 s",
      "two readers, gossip, differences",
      "`configuration-in-force`",
      `${
        formatInteger(atTarget("configuration-in-force"))
      } ms after publication, links of 1 ms, a small bundle`,
      "6,000 ms",
      formatHolds(slope("configuration-in-force").holds),
    ],
    [
      "58,000 changes a day: bytes",
      "differences of parts",
      "`configuration-change-bytes`",
      `${
        formatInteger(
          atTarget("configuration-change-bytes") * CHANGES_PER_SECOND,
        )
      } bytes a second`,
      "3,000, shared",
      "yes",
    ],
    [
      "58,000 changes a day: processor",
      "digests of the parts that changed",
      "`bundle-change`",
      `${
        (atTarget("bundle-change") * CHANGES_PER_SECOND).toFixed(1)
      } ms a second`,
      "39 ms, shared",
      formatHolds(slope("bundle-change").holds),
    ],
    [
      "58,000 changes a day: platform readers",
      "two readers fetch the complete bundle at each change",
      "`bundle-verify`",
      `${
        formatInteger(atTarget("bundle-verify") * CHANGES_PER_SECOND)
      } ms and ${
        formatMebibytes(atTarget("bundle-bytes") * CHANGES_PER_SECOND)
      } MiB read a second`,
      "39 ms, shared",
      formatHolds(
        atTarget("bundle-verify") * CHANGES_PER_SECOND <=
          TARGET.controlMsPerSecond,
      ),
    ],
    [
      "3.9 % of a core for control",
      "all of the above",
      "sum",
      `${processorMs.toFixed(1)} ms a second`,
      "39 ms",
      formatHolds(processorMs <= TARGET.controlMsPerSecond),
    ],
    [
      "128 MB for control",
      "all of the above",
      "sum",
      `${formatMebibytes(memory)} MiB of heap beside ${
        formatMebibytes(idleProcessBytes)
      } MiB of a process without streams`,
      "128 MiB",
      formatHolds(memory + idleProcessBytes <= TARGET.controlMemoryBytes),
    ],
    [
      "3 KB a second for control",
      "all of the above",
      "sum",
      `${formatInteger(bytes)} bytes a second`,
      "3,000",
      formatHolds(bytes <= TARGET.controlBytesPerSecond),
    ],
    [
      "220 deaths a day",
      "gossip of changes, bounded fan-out",
      "`membership-death-bytes`",
      `${deathBytesPerSecond.toFixed(1)} bytes a second and host on average`,
      "3,000, shared",
      "yes",
    ],
    [
      "2,100 restarts and replacements a day",
      "a new host requests the full state from four hosts",
      "`membership-start-bytes`",
      `${startBytesPerSecond.toFixed(1)} bytes a second and host on average`,
      "3,000, shared",
      "yes",
    ],
    [
      `${formatInteger(STREAMS_PER_HOST)} streams open at a host`,
      "one exchange per stream",
      "`relay-state`",
      `${formatMebibytes(atTarget("relay-state"))} MiB resident`,
      "none: data path",
      "",
    ],
    [
      `${
        formatInteger(REQUESTS_PER_HOST)
      } requests a second at a host: processor`,
      "four messages per request",
      "`pool-processor`",
      `${atTarget("pool-processor").toFixed(1)} ms a second, both ends`,
      "39 ms",
      formatHolds(slope("pool-processor").holds),
    ],
  ];
}

function formatHolds(holds: boolean | null): string {
  return holds ? "yes" : "**no**";
}

function formatInteger(value: number): string {
  return Math.round(value).toLocaleString("en-US");
}

function formatMebibytes(value: number): string {
  return (value / BYTES_PER_MEBIBYTE).toFixed(1);
}

function sum(values: readonly number[]): number {
  return values.reduce((total, value) => total + value, 0);
}
