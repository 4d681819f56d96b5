/** Header that ties an answer to its dispatch, towards upstreams and back. */
export const NONCE_HEADER = "x-request-nonce";
/** Header by which callers name a request across resends. */
export const IDEMPOTENCY_KEY_HEADER = "idempotency-key";
/** Header by which callers bound the whole answer's time, in milliseconds. */
export const DEADLINE_HEADER = "x-deadline-ms";
/** Header by which callers choose one of their account's tiers. */
export const TIER_HEADER = "x-tier";
/** Path of the chat completions call. */
export const CHAT_PATH = "/v1/chat/completions";
/** Path below which jobs are fetched. */
export const JOBS_PATH = "/v1/jobs";
/** How long a job's answer is kept for its caller after the job's deadline. */
export const RESPONSE_RETENTION_MS = 4 * 3_600_000;
/** Path at which callers get tickets. */
export const TICKETS_PATH = "/v1/tickets";
