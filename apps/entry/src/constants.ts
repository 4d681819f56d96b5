/** Header that matches an upstream's response to its dispatch. */
export const NONCE_HEADER = "x-request-nonce";
/** Header by which callers identify a request across resends. */
export const IDEMPOTENCY_KEY_HEADER = "idempotency-key";
/** Header by which callers limit the time to the complete response, in ms. */
export const DEADLINE_HEADER = "x-deadline-ms";
/** Header by which callers select one of their account's tiers. */
export const TIER_HEADER = "x-tier";
/** Path of the chat completions endpoint. */
export const CHAT_PATH = "/v1/chat/completions";
/** Path prefix under which jobs are fetched. */
export const JOBS_PATH = "/v1/jobs";
/** How long a job's response is retained after the job's deadline. */
export const RESPONSE_RETENTION_MS = 4 * 3_600_000;
/** Path at which callers request tickets. */
export const TICKETS_PATH = "/v1/tickets";
