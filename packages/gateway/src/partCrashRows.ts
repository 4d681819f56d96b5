/** Encoding of crashes under prompt parts as rows of gossip messages. */
import {
  asId,
  type Digest,
  type Milliseconds,
  type UpstreamId,
} from "@wasabivane/common";
import type {
  PartCompletion,
  PartConviction,
  PartCrash,
  SoftwareVersion,
} from "@wasabivane/admission";
import {
  expectIds,
  expectNumber,
  expectRows,
  expectString,
  type Row,
} from "./rowValues.ts";

/** What a message tells of crashes under prompt parts; ages in place of times. */
export interface PartCrashRows {
  readonly partCrashes: readonly PartCrash[];
  readonly partCompletions: readonly PartCompletion[];
  readonly partConvictions: readonly PartConviction[];
}

/** Encodes {@link PartCrashRows} at a time. */
export function encodePartCrashRows(
  { partCrashes, partCompletions, partConvictions }: PartCrashRows,
  now: Milliseconds,
): Row[] {
  const ageOf = (at: Milliseconds): Milliseconds => Math.round(now - at);
  return [
    partCrashes.map((crash) => [
      crash.upstream,
      crash.softwareVersion,
      ageOf(crash.at),
      ageOf(crash.sentAt),
      crash.account,
      crash.parts,
    ]),
    partCompletions.map(({ part, at, softwareVersion }) => [
      part,
      ageOf(at),
      softwareVersion,
    ]),
    partConvictions.map((conviction) => [
      conviction.parts,
      conviction.account ?? "",
      ageOf(conviction.lastCrashAt),
      conviction.failedTrials,
      conviction.softwareVersions,
    ]),
  ];
}

/** Decodes the rows of {@link encodePartCrashRows}. */
export function decodePartCrashRows(
  [crashes, completions, convictions]: Row,
  now: Milliseconds,
): PartCrashRows {
  return {
    partCrashes: expectRows(crashes).map((row) => decodeCrash(row, now)),
    partCompletions: expectRows(completions).map(([part, age, version]) => ({
      part: asId<Digest>(expectString(part)),
      at: now - expectNumber(age),
      softwareVersion: asId<SoftwareVersion>(expectString(version)),
    })),
    partConvictions: expectRows(convictions).map((row) =>
      decodeConviction(row, now)
    ),
  };
}

function decodeCrash(row: Row, now: Milliseconds): PartCrash {
  return {
    upstream: asId<UpstreamId>(expectString(row[0])),
    softwareVersion: asId<SoftwareVersion>(expectString(row[1])),
    at: now - expectNumber(row[2]),
    sentAt: now - expectNumber(row[3]),
    account: asId<Digest>(expectString(row[4])),
    parts: expectIds<Digest>(row[5]),
  };
}

function decodeConviction(row: Row, now: Milliseconds): PartConviction {
  const account = expectString(row[1]);
  return {
    parts: expectIds<Digest>(row[0]),
    account: account === "" ? undefined : asId<Digest>(account),
    lastCrashAt: now - expectNumber(row[2]),
    failedTrials: expectNumber(row[3]),
    softwareVersions: expectIds<SoftwareVersion>(row[4]),
  };
}
