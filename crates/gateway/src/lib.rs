//! A router's sockets and timers in front of routed services.
//!
//! Callers come in by [`front`], each request is decided and passed on by [`serve`], endpoints are reached by [`link`],
//! what the store says is followed by [`follow`], and the holder's orders go out by [`orders`]. Names and formats of the
//! site that it runs on are a matter of the [`Dialect`]; all decisions are made by the `dispatch` crate.

mod control;
mod dialect;
mod follow;
mod front;
mod link;
mod metrics;
mod orders;
mod run;
mod serve;
mod settings;
mod shared;

pub use dialect::{
    Dialect, ForwardContext, Holding, InvalidHead, OrderResponse, RequestInfo, ResponseInfo, StoreKeys, WantedWeights,
    WeightsOrder,
};
pub use run::{Addresses, RunError, Signal, run};
pub use settings::{Bounds, Settings, SettingsProblem, read_settings};
