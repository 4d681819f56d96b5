import { setTimeout as pause } from "node:timers/promises";
import {
  type Bundle,
  demoApiKey,
  exampleBundle,
  exampleSigningKey,
  signBundle,
  trustedKeyOf,
} from "@wasabivane/bundle";
import { asId } from "@wasabivane/common";
import { settingsSchema, startEntry } from "@wasabivane/entry";
import {
  EngineStandIn,
  type EngineStandInOptions,
  PlainStandIn,
  PlatformStandIn,
} from "@wasabivane/stand-ins";

const POLL_MS = 2;
const ADDRESS = "127.0.0.1";

/** Options of {@link startEntryFixture}. */
export interface EntryFixtureOptions {
  readonly engines?: number;
  readonly plainServices?: number;
  readonly engineOptions?: EngineStandInOptions;
  /** Settings that extend or override those of the fixture. */
  readonly settings?: Readonly<Record<string, unknown>>;
  /** Settings of the platform that extend its URLs. */
  readonly platform?: Readonly<Record<string, unknown>>;
  /** URLs that replace those of stand-ins, by upstream. */
  readonly upstreamUrls?: Readonly<Record<string, string>>;
  /** Starts a proxy in front of a stand-in and returns the proxy's URL. */
  readonly createProxy?: (url: string) => Promise<string>;
}

/**
 * An entry host with stand-ins for its upstreams and platform, in one process.
 */
export interface EntryFixture {
  readonly callerPort: number;
  readonly operatorPort: number;
  readonly peerPort: number;
  readonly callerUrl: string;
  readonly bundle: Bundle;
  readonly engines: readonly EngineStandIn[];
  readonly plainServices: readonly PlainStandIn[];
  readonly platform: PlatformStandIn;
  /** The status document of the operator port. */
  status(): { openExchanges: number; counters: Record<string, number> };
  /** The sum of a counter over all its tags. */
  counter(name: string): number;
  stop(): Promise<void>;
}

/** Resolves once a condition holds; limited by the test's timeout only. */
export async function until(condition: () => boolean): Promise<void> {
  while (!condition()) await pause(POLL_MS);
}

/** Settings of a single entry host on free ports. */
export function fixtureSettings(
  platformUrl: string,
  overrides: Readonly<Record<string, unknown>> = {},
): Record<string, unknown> {
  return {
    host: "entry-1",
    failureDomain: "hakata",
    callers: { port: 0 },
    operators: { port: 0 },
    peers: { port: 0, secrets: ["secret-of-the-bench"] },
    platform: { configurationUrl: platformUrl, hostListUrl: platformUrl },
    trustedKeys: [trustedKeyOf(exampleSigningKey())],
    logLevel: "silent",
    ...overrides,
  };
}

/** Starts an entry host with stand-ins and waits until it is ready. */
export async function startEntryFixture(
  options: EntryFixtureOptions = {},
): Promise<EntryFixture> {
  const engines = Array.from(
    { length: options.engines ?? 1 },
    () => new EngineStandIn({ timeScale: 50, ...options.engineOptions }),
  );
  const plainServices = Array.from(
    { length: options.plainServices ?? 1 },
    () => new PlainStandIn(),
  );
  const platform = new PlatformStandIn();
  const bundle = await createBundle({ engines, plainServices }, options);
  platform.setBundle(signBundle(bundle, exampleSigningKey())._unsafeUnwrap());
  platform.setHosts({
    version: 1,
    entryHosts: [{
      host: asId("entry-1"),
      peerAddress: `${ADDRESS}:1`,
      failureDomain: bundle.failureDomains[0]!.failureDomain,
      state: "live",
    }],
    upstreams: bundle.upstreams.map(({ upstream }) => ({
      upstream,
      state: "live",
    })),
  });
  const { url } = await platform.start();
  const platformUrl = await options.createProxy?.(url) ?? url;
  const settings = settingsSchema.parse(fixtureSettings(platformUrl, {
    ...options.settings,
    platform: {
      configurationUrl: platformUrl,
      hostListUrl: platformUrl,
      ...options.platform,
    },
  }));
  const started = (await startEntry(settings))._unsafeUnwrap();
  const { host } = started.daemon;
  await until(() => host.createOperatorView().isReady());
  const status = host.status.bind(host) as EntryFixture["status"];
  return {
    ...started.ports,
    callerUrl: `http://${ADDRESS}:${started.ports.callerPort}`,
    bundle,
    engines,
    plainServices,
    platform,
    status,
    counter: (name) => sumOf(status().counters, name),
    async stop(): Promise<void> {
      await started.stop();
      const standIns = [...engines, ...plainServices, platform];
      await Promise.all(standIns.map((standIn) => standIn.stop()));
    },
  };
}

async function createBundle(
  { engines, plainServices }: Pick<
    EntryFixture,
    "engines" | "plainServices"
  >,
  { upstreamUrls = {}, createProxy = Promise.resolve.bind(Promise) }:
    EntryFixtureOptions,
): Promise<Bundle> {
  const example = exampleBundle("fukuoka");
  const urls: Record<string, string> = {};
  for (
    const [service, standIns] of [["drafter", engines], [
      "casefile",
      plainServices,
    ]] as const
  ) {
    const upstreams = example.upstreams.filter((upstream) =>
      upstream.service === service
    );
    for (const [index, standIn] of standIns.entries()) {
      const { upstream } = upstreams[index]!;
      urls[upstream] = upstreamUrls[upstream] ??
        await createProxy((await standIn.start()).url);
    }
  }
  const bundle = exampleBundle("fukuoka", { upstreamUrls: urls });
  const upstreams = bundle.upstreams.filter(({ upstream }) => upstream in urls);
  return { ...bundle, upstreams };
}

function sumOf(counters: Record<string, number>, name: string): number {
  return Object.entries(counters)
    .filter(([key]) => key === name || key.startsWith(`${name}{`))
    .reduce((sum, [, value]) => sum + value, 0);
}

/** The `Authorization` header value of an example account. */
export function bearer(account = "hakata-mediation"): string {
  return `Bearer ${demoApiKey(account)}`;
}
