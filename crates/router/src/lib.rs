//! The router: sockets and timers around the core crates.
//!
//! Request tasks read one immutable [`View`] at a time and share a [`Pool`] for each model and service. One control
//! thread owns the configuration revision, membership and endpoint health, and publishes views.

mod client;
mod control;
mod limits;
mod metrics;
mod operator;
mod orders;
mod pool;
mod run;
mod settings;
mod shared;
mod view;

pub use operator::Status;
pub use run::{Addresses, RunError, run};
pub use settings::{LogFormat, LogSettings, Settings, SettingsProblem, read_settings};
