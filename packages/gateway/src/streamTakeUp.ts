import type { Milliseconds, RequestId } from "@wasabivane/common";
import { err, ok, type Result } from "neverthrow";
import type { GatewayContext } from "./gatewayContext.ts";
import type { StreamOrigin } from "./streamOriginTable.ts";
import type { AdmittedRequest, Refusal } from "./requestAdmission.ts";

/** Mean retry delay given to callers whose stream's version is not known. */
const UNKNOWN_RETRY_MS: Milliseconds = 250;
/** Share of a caller's time after which it is refused, so that it can try again. */
const MAXIMUM_SEARCH_SHARE = 0.5;

/** Parts of the context that {@link bindToOrigin} needs. */
export interface TakeUpContext
  extends Pick<GatewayContext, "random" | "timer"> {
  readonly streamOrigins: Pick<GatewayContext["streamOrigins"], "resolve">;
}

/** Whether the stream of a request may go on after a break. */
export function isResumable({ route }: AdmittedRequest): boolean {
  return route.isStreaming && route.repeatability === "resumable";
}

/** Returns the request that brings or brought the first event of a stream. */
export function originIdOf({ metadata }: AdmittedRequest): RequestId {
  return metadata.resumes ?? metadata.requestId;
}

/**
 * Binds a request that takes a stream up to the service and software version that
 * began it, or refuses it if they are not known or no longer allowed.
 */
export async function bindToOrigin(
  admitted: AdmittedRequest,
  { streamOrigins, random, timer }: TakeUpContext,
): Promise<Result<AdmittedRequest, Refusal>> {
  const { metadata: { requestId, resumes }, service, route } = admitted;
  if (!isTakeUp(admitted)) return ok(admitted);
  const search = { request: requestId, resumes, service };
  const span = MAXIMUM_SEARCH_SHARE * (admitted.deadline - timer.now());
  const origin = await new Promise<StreamOrigin | undefined>((resolve) => {
    const timeout = timer.after(span, () => resolve(undefined));
    void streamOrigins.resolve(search).then((found) => {
      timeout.cancel();
      resolve(found);
    });
  });
  const isAllowed = route.targets.some((target) =>
    target.service === origin?.service
  );
  if (origin === undefined || !isAllowed) {
    const retryAfter = UNKNOWN_RETRY_MS * (0.5 + random.float());
    return err({ status: 503, reason: "version-unknown", retryAfter });
  }
  return ok({ ...admitted, ...origin });
}

function isTakeUp(admitted: AdmittedRequest): boolean {
  const { lastEventId, resumes } = admitted.metadata;
  const isNamed = lastEventId !== undefined || resumes !== undefined;
  return isNamed && isResumable(admitted);
}
