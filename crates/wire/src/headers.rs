//! HTTP header names. Each comment names the sides that use the header.

/// Clients and endpoints: the request's id, echoed in the response.
pub const REQUEST_ID: &str = "apricotfork-request-id";
/// Clients and endpoints: milliseconds until the client's deadline.
pub const DEADLINE_MS: &str = "apricotfork-deadline-ms";
/// Clients: name of a configured priority. Endpoints: its rank, 0 is the most urgent.
pub const PRIORITY: &str = "apricotfork-priority";
/// Clients: byte offsets in the rendered prompt where nested shared prefixes end, ascending, comma-separated.
pub const PREFIX_LEVELS: &str = "apricotfork-prefix-levels";
/// Clients and services: the key under which a call runs at most once.
pub const IDEMPOTENCY_KEY: &str = "idempotency-key";
/// Clients: `first` states that the idempotency key was never used before, so that an error response can say `not_run`
/// without a claim.
pub const ATTEMPT: &str = "apricotfork-attempt";
/// Engines: namespace of the prompt cache, so that workspaces never share entries.
pub const CACHE_SCOPE: &str = "apricotfork-cache-scope";
/// Engines: weights version that the request requires; in the response, the one that served it.
pub const WEIGHTS: &str = "apricotfork-weights";
/// Engines: number of the first event requested of a resumed stream.
pub const RESUME_FROM: &str = "apricotfork-resume-from";
/// Endpoint response: the endpoint's incarnation.
pub const INCARNATION: &str = "apricotfork-incarnation";
/// Engine response: prompt tokens found in its cache.
pub const CACHED_TOKENS: &str = "apricotfork-cached-tokens";
/// Error response: `not_run` or `unknown`.
pub const RAN: &str = "apricotfork-ran";
