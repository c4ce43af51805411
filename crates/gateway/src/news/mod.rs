//! News between routers: the load that they put on endpoints, and the use of workspaces' quotas.
//!
//! A message from each router to each other would take most of a router's processor time. Instead a follower reports to
//! the router that it follows and receives the sum over all others in the response. The routers that are followed, a
//! few in each failure domain, send each other the subtotals of their followers. So the cost of a follower does not
//! depend on the number of routers.
//!
//! The arrows go one way: `exchange_news` uses [`report`] and [`subtotal`], both use [`message`], and [`collect`] only
//! answers other routers.

mod collect;
mod message;
mod report;
mod subtotal;

pub use collect::{handle_report, handle_subtotal};

use crate::follow::members::Members;
use crate::shared::Shared;
use async_std::future::timeout;
use async_std::task;
use dispatch::fleet::BacklogSource;
use ids::VmId;
use report::Reporter;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use subtotal::SubtotalSenders;

/// Time in which changes are collected into one message.
const BATCH_DELAY: Duration = Duration::from_millis(25);
/// Interval between messages of a watcher, and of a router that serves requests, so that its news is recent when the
/// next one arrives.
const ACTIVE_INTERVAL: Duration = Duration::from_millis(100);
/// Interval between messages of a follower without requests.
const IDLE_INTERVAL: Duration = Duration::from_millis(400);
/// Time after its last request in which a router counts as serving requests.
const ACTIVE_PERIOD: Duration = Duration::from_secs(2);
/// Interval between reads of the list of routers.
const MEMBERS_INTERVAL: Duration = Duration::from_secs(1);
/// The same until the first routers are known. A router serves as soon as it has read the store, and until it reports
/// it has only an even share of each quota.
const START_INTERVAL: Duration = Duration::from_millis(50);
/// Longest wait for a connection or a response.
const CALL_TIMEOUT: Duration = Duration::from_millis(300);

/// A router's part in the exchange.
enum Role {
    /// Knows no router yet.
    Unknown,
    /// Reports to the first of these routers that answers.
    Follower(Vec<(VmId, SocketAddr)>),
    /// Collects reports and sends subtotals to these routers.
    Watcher(Vec<(VmId, SocketAddr)>),
}

/// Exchanges news until the process exits.
pub async fn exchange_news(shared: Arc<Shared>) {
    let mut role = Role::Unknown;
    let mut role_read = None;
    let mut active_until = Duration::ZERO;
    let mut reporter = Reporter::default();
    let mut senders = SubtotalSenders::new(rand::random());
    loop {
        let is_active = shared.clock.now() < active_until;
        let interval = match role {
            Role::Unknown => START_INTERVAL,
            Role::Follower(_) if !is_active => IDLE_INTERVAL,
            Role::Follower(_) | Role::Watcher(_) => ACTIVE_INTERVAL,
        };
        if timeout(interval, shared.news_signal.1.recv()).await.is_ok() {
            active_until = shared.clock.now() + ACTIVE_PERIOD;
            task::sleep(BATCH_DELAY).await;
        }
        let now = shared.clock.now();
        let is_due = |at| now.saturating_sub(at) >= MEMBERS_INTERVAL;
        if matches!(role, Role::Unknown) || role_read.is_none_or(is_due) {
            role_read = Some(now);
            role = read_role(&shared, now);
        }
        match &role {
            Role::Unknown => {}
            Role::Follower(collectors) => reporter.report(&shared, collectors).await,
            Role::Watcher(others) => senders.send(&shared, others),
        }
    }
}

fn read_role(shared: &Shared, now: Duration) -> Role {
    let settings = shared.settings.load_full();
    let members = Members::read(shared);
    if members.count() == 0 {
        return Role::Unknown;
    }
    let collectors = members.collectors(&settings.vm, &settings.domain);
    let is_watcher = collectors.is_empty();
    shared.quotas().set_role(is_watcher, members.count(), now);
    if !is_watcher {
        return Role::Follower(collectors);
    }
    shared.fleet().remove_backlog(&BacklogSource::Upstream);
    Role::Watcher(members.other_watchers(&settings.vm))
}
