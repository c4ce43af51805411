//! Network tasks and timers of a router in front of routed services.
//!
//! [`front`] accepts client connections, [`serve`] forwards each request, [`connections`] connects to endpoints,
//! [`follow`] keeps a copy of the store's contents, [`news`] exchanges load and use of quotas between routers, [`tunnel`] carries connections to endpoints for routers that cannot reach them, and [`orders`] sends the lease holder's orders to endpoints. The
//! [`Dialect`] defines the names and formats of the site. The `dispatch` crate makes all decisions.

mod blocks;
mod connections;
mod control;
mod dialect;
mod follow;
mod front;
mod held;
mod intake;
mod lanes;
mod leaving;
mod metrics;
mod news;
mod orders;
mod origins;
mod part_holds;
mod patient_queues;
mod place_queues;
mod quarantine;
mod request_counts;
mod run;
mod serve;
mod settings;
mod shared;
mod stop;
mod tunnel;

pub use dialect::{
    Dialect, ForwardContext, InvalidHead, LoadList, OrderResponse, RequestInfo, ResponseInfo, StoreKeys, TargetWeights,
    WeightsOrder,
};
pub use run::{Addresses, RunError, Signal, run};
pub use settings::{Bounds, Settings, SettingsProblem, read_settings};
