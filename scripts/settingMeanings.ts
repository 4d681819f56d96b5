/** Maps the path of each setting to its text in the settings reference. */
export const SETTING_MEANINGS: Readonly<Record<string, string>> = {
  host: "Name under which the host list knows this host",
  failureDomain: "Failure domain of this host",
  "callers.address": "Address of the port for callers",
  "callers.port": "Port for callers; 0 takes a free one",
  "callers.tls.certificateFile": "PEM certificate chain; TLS is off without it",
  "callers.tls.keyFile": "PEM private key of the certificate",
  "callers.tls.authorityFile": "PEM authority of client certificates",
  "operators.address": "Address of the port for operators",
  "operators.port": "Port for operators and health checks",
  "operators.tls.certificateFile":
    "PEM certificate chain; TLS is off without it",
  "operators.tls.keyFile": "PEM private key of the certificate",
  "operators.tls.authorityFile": "PEM authority of client certificates",
  "peers.address": "Address of the port for other entry hosts",
  "peers.port": "Port for other entry hosts",
  "peers.advertisedAddress":
    "Address announced to peers, `ip:port`; the listening address by default",
  "peers.tls.certificateFile": "PEM certificate chain; TLS is off without it",
  "peers.tls.keyFile": "PEM private key of the certificate",
  "peers.tls.authorityFile": "PEM authority of the peers' certificates",
  "peers.secrets":
    "Authenticate peers in the handshake; the first is used, all are accepted",
  "platform.configurationUrl": "Base url of the configuration service",
  "platform.hostListUrl": "Base url of the host list",
  "platform.authorityFile": "PEM authority of the platform's certificates",
  "upstreams.authorityFile": "PEM authority of the upstreams' certificates",
  "trustedKeys[].keyId": "Id of a key that may sign bundles",
  "trustedKeys[].publicKey": "Ed25519 public key, as `keygen` prints it",
  "limits.maximumBodyBytes": "Larger bodies are refused with 413",
  "limits.maximumConnections":
    "Maximum number of concurrent caller connections",
  "limits.headersTimeoutMs": "Timeout for a request's headers",
  "limits.requestTimeoutMs": "Timeout for a request's complete body",
  "limits.retainedAnswerBytes":
    "Memory for responses that are retained for resends",
  "statsd.address": "Address of the metrics daemon; metrics are off without it",
  "statsd.port": "UDP port of the metrics daemon",
  logLevel: "Minimum level of the log lines that are written",

  entries: "Operator ports of all entry hosts",
  timeoutMs: "Timeout for the response of one host",
  authorityFile: "PEM authority of the operator ports' certificates",

  format: "Format of the document",
  deployment: "Name of the deployment; signatures cover it",
  version: "Raise it with every change; hosts never adopt an older version",
  "failureDomains[].failureDomain":
    "A group of hosts that can be lost together",
  "failureDomains[].region": "Region of the failure domain",
  domainDistanceMs: "One-way latency between failure domains, for routing",
  "tiers[].tier": "1 is the most urgent and the last to be shed",
  "tiers[].name": "Display name",
  "tiers[].deadlineMs":
    "Deadline of the complete response if the request names none",
  "tiers[].weight": "Weight of one response in reports over all tiers",
  "services[].service": "Name of the service",
  "services[].kind": "Chat completions, or plain HTTP",
  "services[].models": "Model names that callers use",
  "services[].pathPrefix": "Path below which a plain service is reached",
  "services[].idempotentMethods": "Methods that may run more than once",
  "services[].initialConcurrency":
    "Concurrency limit of an upstream until its own limit is estimated",
  "services[].maximumConcurrency": "Maximum concurrency limit of an upstream",
  "services[].maximumWaitingTokens":
    "Maximum queued tokens across all entry hosts",
  "services[].maximumWaitingBytes":
    "Maximum bytes of queued bodies across all entry hosts",
  "services[].maximumEjectedShare":
    "Maximum share of the upstreams that are ejected at once",
  "upstreams[].upstream": "Name under which the host list knows the upstream",
  "upstreams[].service": "Service of which it is a replica",
  "upstreams[].url": "URL of the upstream",
  "upstreams[].failureDomain": "Failure domain of the upstream",
  "upstreams[].generation":
    "Hardware generation; provides the initial speed estimate",
  "upstreams[].fencing":
    "Whether it rejects requests with an outdated fencing number",
  "clientAccounts[].account": "Name of the client account",
  "clientAccounts[].keyDigests": "SHA-256 of each valid API key, in hex",
  "clientAccounts[].tiers": "Tiers that its requests may name",
  "clientAccounts[].defaultTier": "Tier of requests that name none",
  "clientAccounts[].services": "Services that it may use",
  "clientAccounts[].limits.requestsPerSecond": "Requests a second",
  "clientAccounts[].limits.tokensPerSecond":
    "Prompt and generated tokens a second",
  "clientAccounts[].limits.concurrentRequests":
    "Maximum requests in flight across all entry hosts",
  "clientAccounts[].limits.waitingRequests":
    "Maximum queued requests across all entry hosts",
  "stopPlans[].stopPlan": "Name of the stop plan",
  "stopPlans[].readinessMs":
    "Time for the load balancer to notice that the host is not ready",
  "stopPlans[].streamsMs": "Time limit for running responses",
  "stopPlans[].handoverMs": "Time limit for handing queued work to peers",
  "stopPlans[].hostsAtOnce":
    "Maximum number of hosts of a failure domain that stop at once",
  defaultStopPlan: "Stop plan if the stop command names none",
};
