import { readBundleFile } from "@wasabivane/bundle";
import {
  type CommandReport,
  EXIT_FINDINGS,
  EXIT_OK,
  UsageError,
} from "@wasabivane/common";
import { documentErrorsReport } from "./documentErrorsReport.ts";
import {
  type ExplainedRequest,
  explainRequest,
  type Explanation,
  type Refusal,
} from "./explanation.ts";

/**
 * Reports which service, tier, limits and upstreams apply to a request, and
 * why.
 */
export function explainCommand(
  file: string,
  request: ExplainedRequest,
): CommandReport {
  if ((request.model === undefined) === (request.path === undefined)) {
    throw new UsageError("Give either --model or --path");
  }
  return readBundleFile(file).match(
    ({ bundle }) =>
      explainRequest(bundle, request).match(explanationReport, refusalReport),
    documentErrorsReport,
  );
}

function refusalReport(refusal: Refusal): CommandReport {
  return {
    exitCode: EXIT_FINDINGS,
    data: { refusal },
    lines: [
      `Refused (${refusal.kind}): ${refusal.message}; allowed: ${refusal.allowed}`,
    ],
  };
}

function explanationReport(explanation: Explanation): CommandReport {
  const { account, service, tier, limits, upstreams } = explanation;
  const { isDefaultTier, isIdempotent } = explanation;
  return {
    exitCode: EXIT_OK,
    data: {
      account: account.account,
      service: service.service,
      tier,
      isDefaultTier,
      isIdempotent,
      limits,
      upstreams,
    },
    lines: [
      serviceLine(explanation),
      tierLine(explanation),
      resendLine(explanation),
      `limits of ${account.account}, over all entry hosts:`,
      `    ${limits.requestsPerSecond} requests and ${limits.tokensPerSecond} tokens a second`,
      `    ${limits.concurrentRequests} requests in flight, ${limits.waitingRequests} waiting`,
      ...upstreamLines(service, upstreams),
    ],
  };
}

function serviceLine({ service }: Explanation): string {
  const reason = service.kind === "model"
    ? `by the model ${service.models.join(", ")}`
    : `by the path prefix ${service.pathPrefix}`;
  return `service ${service.service} (${service.kind}), ${reason}`;
}

function tierLine({ tier, isDefaultTier, account }: Explanation): string {
  const reason = isDefaultTier
    ? `the default of ${account.account}`
    : `requested, one of ${account.tiers.join(", ")}`;
  return `tier ${tier.tier} (${tier.name}), ${reason}; complete response within ${tier.deadlineMs} ms unless the caller sets a deadline`;
}

function resendLine({ isIdempotent, service }: Explanation): string {
  if (isIdempotent) return "idempotent: a caller's resend may run again";
  const methods = service.idempotentMethods.join(", ");
  return `not idempotent (only ${methods} are): it runs at most once`;
}

function upstreamLines(
  service: Explanation["service"],
  upstreams: Explanation["upstreams"],
): string[] {
  const { initialConcurrency, maximumConcurrency, maximumEjectedShare } =
    service;
  const ejected = Math.floor(maximumEjectedShare * upstreams.length);
  return [
    `${upstreams.length} upstreams, each with ${initialConcurrency} requests in flight at first and at most ${maximumConcurrency}; at most ${ejected} ejected at once:`,
    ...upstreams.map(({ upstream, failureDomain, generation, url }) =>
      `    ${upstream}  ${failureDomain}  ${generation}  ${url}`
    ),
  ];
}
