import {
  exampleBundle,
  type ExampleDeployment,
  type Upstream,
} from "@wasabivane/bundle";
import type { Milliseconds } from "@wasabivane/common";
import {
  HARDWARE_GENERATIONS,
  type HardwareGeneration,
} from "@wasabivane/engine-model";
import { EngineStandIn, type EngineStandInOptions } from "./engineStandIn.ts";
import { PlainStandIn } from "./plainStandIn.ts";
import { PlatformStandIn } from "./platformStandIn.ts";

/** Options of {@link startDeployment}. */
export interface DeploymentOptions {
  deployment: ExampleDeployment;
  /** Factor by which engines run faster than real time. */
  timeScale?: number;
  hostListLagMs?: Milliseconds;
  readsPerSecond?: number;
  /** Further options of every engine. */
  engineOptions?: Omit<
    EngineStandInOptions,
    "port" | "generation" | "fencing" | "timeScale"
  >;
}

/** Running stand-ins of one deployment. */
export interface RunningDeployment {
  /** URLs by upstream id, such as `drafter-01` or `casefile-1`. */
  readonly urls: Readonly<Record<string, string>>;
  readonly engines: ReadonlyMap<string, EngineStandIn>;
  readonly plainServices: ReadonlyMap<string, PlainStandIn>;
  readonly platform: PlatformStandIn;
  readonly platformUrl: string;
  /** Stops all stand-ins. */
  stop(): Promise<void>;
}

/** Starts stand-ins for the platform and each upstream of an example bundle. */
export async function startDeployment(
  options: DeploymentOptions,
): Promise<RunningDeployment> {
  const { services, upstreams } = exampleBundle(options.deployment);
  const engines = new Map<string, EngineStandIn>();
  const plainServices = new Map<string, PlainStandIn>();
  for (const upstream of upstreams) {
    const service = services.find(({ service }) =>
      service === upstream.service
    );
    if (service?.kind === "plain") {
      plainServices.set(upstream.upstream, new PlainStandIn());
    } else engines.set(upstream.upstream, createEngine(upstream, options));
  }
  const { hostListLagMs, readsPerSecond } = options;
  const platform = new PlatformStandIn({ hostListLagMs, readsPerSecond });
  const urls: Record<string, string> = {};
  for (const [upstream, standIn] of [...engines, ...plainServices]) {
    urls[upstream] = (await standIn.start()).url;
  }
  const { url: platformUrl } = await platform.start();
  const standIns = [...engines.values(), ...plainServices.values(), platform];
  return {
    urls,
    engines,
    plainServices,
    platform,
    platformUrl,
    async stop(): Promise<void> {
      await Promise.all(standIns.map((standIn) => standIn.stop()));
    },
  };
}

function createEngine(
  { generation, fencing }: Upstream,
  { timeScale, engineOptions }: DeploymentOptions,
): EngineStandIn {
  return new EngineStandIn({
    ...engineOptions,
    generation: isGeneration(generation) ? generation : undefined,
    fencing,
    timeScale,
  });
}

function isGeneration(name: string): name is HardwareGeneration {
  return name in HARDWARE_GENERATIONS;
}
