import {
  CHANGES_PER_SECOND,
  REQUESTS_PER_HOST,
  type Slope,
  STREAMS_PER_HOST,
  TARGET,
  TOKENS_PER_HOST,
} from "@wasabivane/proof";

/** Cells of one row. */
export type TableRow = readonly string[];

const MICROSECONDS = 1_000;
const MEBIBYTE = 1024 * 1024;
const SECONDS_PER_DAY = 86_400;
/** A core, less a third for bursts. */
const USABLE_MS = 667;

type Figures = (name: string) => Slope;

function figuresOf(slopes: readonly Slope[]): Figures {
  const byName = new Map(slopes.map((slope) => [slope.name, slope]));
  return (name) => {
    const slope = byName.get(name);
    if (slope === undefined) throw new Error(`No slope was measured: ${name}`);
    return slope;
  };
}

/** What control costs each host, part by part. */
export function controlCostRows(slopes: readonly Slope[]): TableRow[] {
  const slope = figuresOf(slopes);
  const at = (name: string): number => slope(name).atTarget;
  const changes = CHANGES_PER_SECOND;
  const fixed = [
    part("membership", at("membership-bytes"), at("membership-processor")),
    part(
      "configuration, idle",
      at("configuration-idle-bytes"),
      at("configuration-idle-processor"),
    ),
    part(
      "configuration, changes",
      at("configuration-change-bytes") * changes,
      (at("bundle-change") + at("scheduler-policy")) * changes,
    ),
    part("pool checksums", at("pool-sync-bytes"), 0),
  ];
  const reader = part("", 0, at("bundle-verify") * changes);
  const holder = part("view leases", at("views-bytes"), at("views-processor"));
  const pools = part("asks of pools", at("pool-bytes"), at("pool-processor"));
  return [
    ["part", "bytes a second", "ms of a core a second", "within 3 KB, 39 ms"],
    ...fixed.map(partRow),
    sumRow("**every host, without its requests**", fixed),
    partRow({
      ...reader,
      name: "checks of whole bundles, on the 2 hosts that read",
    }),
    sumRow("**a host that reads the platform**", [...fixed, reader]),
    partRow({ ...holder, name: "view leases, on the 15 hosts that hold them" }),
    sumRow("**a host that holds leases**", [...fixed, holder]),
    partRow({ ...pools, name: "asks of pools, at 77 requests a second" }),
    sumRow("**every host, with its requests**", [...fixed, pools]),
  ];
}

interface Part {
  readonly name: string;
  readonly bytes: number;
  readonly processorMs: number;
}

function part(name: string, bytes: number, processorMs: number): Part {
  return { name, bytes, processorMs };
}

function partRow({ name, bytes, processorMs }: Part): TableRow {
  return [name, whole(bytes), processorMs.toFixed(1), ""];
}

function sumRow(name: string, parts: readonly Part[]): TableRow {
  const bytes = sum(parts.map((item) => item.bytes));
  const processorMs = sum(parts.map((item) => item.processorMs));
  const holds = bytes <= TARGET.controlBytesPerSecond &&
    processorMs <= TARGET.controlMsPerSecond;
  return [name, whole(bytes), processorMs.toFixed(1), verdict(holds)];
}

/** One row for each number of the target. */
export function capacityRows(slopes: readonly Slope[]): TableRow[] {
  const slope = figuresOf(slopes);
  const at = (name: string): number => slope(name).atTarget;
  const bytes = sum(
    [
      "membership-bytes",
      "configuration-idle-bytes",
      "pool-sync-bytes",
      "pool-bytes",
    ].map(at),
  ) + at("configuration-change-bytes") * CHANGES_PER_SECOND;
  const processorMs = sum(
    [
      "membership-processor",
      "configuration-idle-processor",
      "pool-processor",
    ].map(at),
  ) + (at("bundle-change") + at("scheduler-policy")) * CHANGES_PER_SECOND;
  const memory = sum(
    [
      "membership-state",
      "bundle-state",
      "scheduler-upstream-state",
      "scheduler-account-state",
      "scheduler-running-state",
    ].map(at),
  );
  const empty = slope("relay-state").fit.intercept;
  const modelRequests = TARGET.requestsPerSecond / TARGET.models;
  const keeperMs = modelRequests * at("scheduler-decision") / MICROSECONDS;
  const processes = Math.ceil(at("relay-processor") / USABLE_MS);
  const deaths = at("membership-death-bytes") * TARGET.deathsPerDay /
    TARGET.hosts / SECONDS_PER_DAY;
  const starts = at("membership-start-bytes") * TARGET.replacementsPerDay /
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
      "four watchers and two probes for each host",
      "`membership-bytes`",
      `${whole(at("membership-bytes"))} bytes a second`,
      "3,000, shared",
      "yes",
    ],
    [
      "12,000 replicas: published",
      "one bundle in one value",
      "`bundle-bytes`",
      `${mebibytes(at("bundle-bytes"))} MiB`,
      "1 MiB",
      verdict(slope("bundle-bytes").holds),
    ],
    [
      "12,000 replicas: state",
      "flat state per upstream, sampled choice",
      "`scheduler-upstream-state`",
      `${mebibytes(at("scheduler-upstream-state"))} MiB if one host kept all`,
      "128 MiB, shared",
      verdict(slope("scheduler-upstream-state").holds),
    ],
    [
      "24,000 accelerators",
      "the replica is the unit; no state for an accelerator",
      "none",
      "0",
      "",
      "yes, by derivation",
    ],
    [
      "27,000 requests a second: bytes",
      "one keeper for a model, reached over the network",
      "`pool-bytes`",
      `${whole(at("pool-bytes"))} bytes a second`,
      "3,000",
      verdict(slope("pool-bytes").holds),
    ],
    [
      "27,000 requests a second: keeper",
      "one keeper for a model",
      "`scheduler-decision`",
      `${whole(keeperMs)} ms a second for ${
        whole(modelRequests)
      } requests of one model`,
      "39 ms",
      verdict(keeperMs <= TARGET.controlMsPerSecond),
    ],
    [
      "5.9 million tokens a second",
      "chunks passed on as they come",
      "`relay-processor`",
      `${whole(at("relay-processor"))} ms a second for ${
        whole(TOKENS_PER_HOST)
      } tokens: ${processes} processes`,
      "667 ms in a process",
      verdict(slope("relay-processor").holds),
    ],
    [
      "first token within 1.8 s for 95 in 100",
      "decision at the keeper",
      "`scheduler-decision`",
      `${whole(at("scheduler-decision"))} µs and one round trip of ours`,
      "1.8 s with the engine's part",
      "not shown: no engine load of this size was run",
    ],
    [
      "40 ms between tokens for 95 in 100",
      "relay without buffering",
      "`relay-processor`",
      `${whole(at("relay-processor") / processes)} ms a second in each of ${
        whole(processes)
      } processes`,
      "667 ms in a process",
      "not shown: gaps were not timed at this load",
    ],
    [
      "3 generations, 4 tiers",
      "samples by generation, lanes by tier",
      "`scheduler-decision`",
      `${whole(at("scheduler-decision"))} µs a request with both`,
      "506 µs",
      verdict(slope("scheduler-decision").holds),
    ],
    [
      "1,100 client accounts",
      "buckets and lanes made when first used",
      "`scheduler-account-state`",
      `${mebibytes(at("scheduler-account-state"))} MiB in a keeper`,
      "128 MiB, shared",
      verdict(slope("scheduler-account-state").holds),
    ],
    [
      "14 models",
      "one checksum for each pool in use",
      "`pool-sync-bytes`",
      `${whole(at("pool-sync-bytes"))} bytes a second`,
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
        whole(at("configuration-in-force"))
      } ms after publication, links of 1 ms, a small bundle`,
      "6,000 ms",
      verdict(slope("configuration-in-force").holds),
    ],
    [
      "58,000 changes a day: bytes",
      "differences of parts",
      "`configuration-change-bytes`",
      `${
        whole(at("configuration-change-bytes") * CHANGES_PER_SECOND)
      } bytes a second`,
      "3,000, shared",
      "yes",
    ],
    [
      "58,000 changes a day: processor",
      "digests of the parts that changed",
      "`bundle-change`",
      `${(at("bundle-change") * CHANGES_PER_SECOND).toFixed(1)} ms a second`,
      "39 ms, shared",
      verdict(slope("bundle-change").holds),
    ],
    [
      "58,000 changes a day: hosts that read",
      "two readers take the whole value at each change",
      "`bundle-verify`",
      `${whole(at("bundle-verify") * CHANGES_PER_SECOND)} ms and ${
        mebibytes(at("bundle-bytes") * CHANGES_PER_SECOND)
      } MiB read a second`,
      "39 ms, shared",
      verdict(
        at("bundle-verify") * CHANGES_PER_SECOND <= TARGET.controlMsPerSecond,
      ),
    ],
    [
      "3.9 % of a core for control",
      "all of the above",
      "sum",
      `${processorMs.toFixed(1)} ms a second`,
      "39 ms",
      verdict(processorMs <= TARGET.controlMsPerSecond),
    ],
    [
      "128 MB for control",
      "all of the above",
      "sum",
      `${mebibytes(memory)} MiB of heap beside ${
        mebibytes(empty)
      } MiB of a process without streams`,
      "128 MiB",
      verdict(memory + empty <= TARGET.controlMemoryBytes),
    ],
    [
      "3 KB a second for control",
      "all of the above",
      "sum",
      `${whole(bytes)} bytes a second`,
      "3,000",
      verdict(bytes <= TARGET.controlBytesPerSecond),
    ],
    [
      "220 deaths a day",
      "gossip of changes, bounded fan-out",
      "`membership-death-bytes`",
      `${deaths.toFixed(1)} bytes a second and host on average`,
      "3,000, shared",
      "yes",
    ],
    [
      "2,100 restarts and replacements a day",
      "a fresh host asks four for all they know",
      "`membership-start-bytes`",
      `${starts.toFixed(1)} bytes a second and host on average`,
      "3,000, shared",
      "yes",
    ],
    [
      `${whole(STREAMS_PER_HOST)} streams open at a host`,
      "one exchange for each",
      "`relay-state`",
      `${mebibytes(at("relay-state"))} MiB resident`,
      "none: data path",
      "",
    ],
    [
      `${whole(REQUESTS_PER_HOST)} requests a second at a host: processor`,
      "four messages for each request",
      "`pool-processor`",
      `${at("pool-processor").toFixed(1)} ms a second, both ends`,
      "39 ms",
      verdict(slope("pool-processor").holds),
    ],
  ];
}

function verdict(holds: boolean | null): string {
  return holds ? "yes" : "**no**";
}

function whole(value: number): string {
  return Math.round(value).toLocaleString("en-US");
}

function mebibytes(value: number): string {
  return (value / MEBIBYTE).toFixed(1);
}

function sum(values: readonly number[]): number {
  return values.reduce((total, value) => total + value, 0);
}
