//! Admission control: decides which jobs start, wait or are refused. Never does I/O, never reads a clock.
//!
//! Time is passed in as `now`, a [`std::time::Duration`] since the process started. Nothing here blocks.
//!
//! | type | decides |
//! | --- | --- |
//! | [`Admission`] | which jobs of one pool start, wait or are refused |
//! | [`EndpointLimit`] | how many requests one endpoint may run concurrently |
//! | [`ShareLimiter`] | whether a workspace is within its limits over all routers |
//! | [`RetryBudget`], [`decide_retry`], [`decide_hedge`] | whether a failed or slow attempt is tried at another endpoint |

mod answer;
mod bucket;
mod endpoint_limit;
mod job;
mod output_model;
mod pool;
mod queue;
mod reserve;
mod retry;
mod service_model;
mod settings;
mod share_limiter;

pub use answer::{Cancelled, Next, Offer, Outcome, Reason, Refusal, UnknownTicket};
pub use bucket::TokenBucket;
pub use endpoint_limit::{EndpointLimit, Sample};
pub use job::{Job, Ticket, Tokens};
pub use pool::{Admission, Counts};
pub use retry::{Attempt, Failure, HedgeDecision, NoRetry, RetryBudget, RetryDecision, decide_hedge, decide_retry};
pub use service_model::ServiceModel;
pub use settings::{Mechanisms, Settings, SettingsBuilder};
pub use share_limiter::{LimitDecision, Limits, Share, ShareLimiter, ShareView};
