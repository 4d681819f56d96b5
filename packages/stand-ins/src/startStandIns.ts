import { err, ok, type Result } from "neverthrow";
import { EngineStandIn } from "./engineStandIn.ts";
import type { HttpStandIn } from "./httpStandIn.ts";
import { PlainStandIn } from "./plainStandIn.ts";
import { PlatformStandIn } from "./platformStandIn.ts";
import type { StandInSetting, StandInSettings } from "./settings.ts";

/** Running stand-in and its URL. */
export interface StartedStandIn {
  readonly name: string;
  readonly kind: StandInSetting["kind"];
  readonly url: string;
  readonly standIn: HttpStandIn;
}

/** Reason why a stand-in did not start. */
export interface StandInStartError {
  readonly kind: "cannot-listen";
  readonly name: string;
  readonly detail: string;
}

/** Starts all stand-ins in order; stops them again if one fails to start. */
export async function startStandIns(
  { hostname, standIns }: StandInSettings,
): Promise<Result<StartedStandIn[], StandInStartError>> {
  const started: StartedStandIn[] = [];
  for (const setting of standIns) {
    const { name, kind } = setting;
    const standIn = createStandIn(setting, hostname);
    try {
      const { url } = await standIn.start();
      started.push({ name, kind, url, standIn });
    } catch (thrown) {
      await Promise.all(started.map(({ standIn }) => standIn.stop()));
      const detail = (thrown as Error).message;
      return err({ kind: "cannot-listen", name, detail });
    }
  }
  return ok(started);
}

function createStandIn(setting: StandInSetting, hostname: string): HttpStandIn {
  if (setting.kind === "engine") {
    return new EngineStandIn({ ...setting, hostname });
  }
  if (setting.kind === "plain") {
    return new PlainStandIn({ ...setting, hostname });
  }
  return new PlatformStandIn({ ...setting, hostname });
}
