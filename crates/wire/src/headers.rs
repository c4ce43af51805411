//! Names of the HTTP headers that carry what a body does not.

/// Caller and endpoints: the request's id, echoed in the answer.
pub const REQUEST_ID: &str = "apricotfork-request-id";
/// Caller and endpoints: milliseconds left until the caller stops waiting.
pub const DEADLINE_MS: &str = "apricotfork-deadline-ms";
/// Caller: name of a configured priority. Endpoints: its rank, 0 the most urgent.
pub const PRIORITY: &str = "apricotfork-priority";
/// Caller: byte offsets in the rendered prompt where nested shared levels end, ascending, comma-separated.
pub const PREFIX_LEVELS: &str = "apricotfork-prefix-levels";
/// Caller and services: the key under which a call runs at most once.
pub const IDEMPOTENCY_KEY: &str = "idempotency-key";
/// Caller: `first` states that the key was never used before, so that a refusal can say "not run" without a claim.
pub const ATTEMPT: &str = "apricotfork-attempt";
/// Engines: name space of the prompt cache, so that workspaces never share entries.
pub const CACHE_SCOPE: &str = "apricotfork-cache-scope";
/// Engines: weights version the request is meant for, and in the answer the one that served it.
pub const WEIGHTS: &str = "apricotfork-weights";
/// Engines: number of the first piece that is wanted of a resumed stream.
pub const RESUME_FROM: &str = "apricotfork-resume-from";
/// Answer of an endpoint: its incarnation.
pub const INCARNATION: &str = "apricotfork-incarnation";
/// Answer of an engine: prompt tokens found in its cache.
pub const CACHED_TOKENS: &str = "apricotfork-cached-tokens";
/// Answer of a refusal: `not_run` or `unknown`.
pub const RAN: &str = "apricotfork-ran";
