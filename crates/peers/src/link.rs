//! One connection that this router keeps, and its heartbeats.
//!
//! tarpc does not reconnect, so that this does: with a pause that doubles, and that differs between routers, since a
//! domain's routers would otherwise all call a restarted one at the same moments.

use crate::delta::{Extent, News, Received, Sent};
use crate::handle::Inner;
use crate::service::{PeerError, RouterClient};
use crate::{Event, socket};
use async_channel::Receiver;
use control::membership::{HEARTBEAT_INTERVAL, Link, Member};
use futures::FutureExt;
use std::sync::Arc;
use std::time::{Duration, Instant};
use tarpc::context::Context;
use xxhash_rust::xxh3::xxh3_64;

/// A call without an answer for this long has failed.
pub const CALL_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Longest pause between two attempts to connect.
pub const MAX_BACKOFF: Duration = Duration::from_secs(3);
const FIRST_BACKOFF: Duration = Duration::from_millis(200);
/// Memberships that differ are compared at most this often: in a partition they differ all the time.
const ROSTER_EVERY: Duration = Duration::from_secs(10);
/// Shortest time between two heartbeats, whatever is urgent.
const SHORTEST: Duration = Duration::from_millis(200);

/// Keeps the link until it is cancelled. `urgent` gets a message when something can't wait.
pub(crate) async fn keep(link: Link, inner: Arc<Inner>, urgent: Receiver<()>) {
    let mut backoff = FIRST_BACKOFF;
    loop {
        let mut session = Session::new(&link, &inner);
        let began = Instant::now();
        let Err(error) = session.run(&urgent).await;
        if matches!(error, PeerError::Stopped) {
            return;
        }
        log::debug!("link to {}: {error}", link.member);
        if inner
            .events
            .send(Event::LinkFailed(link.member.id.clone()))
            .await
            .is_err()
        {
            return;
        }
        if began.elapsed() > MAX_BACKOFF {
            backoff = FIRST_BACKOFF;
        }
        async_std::task::sleep(spread(&inner.own, &link.member, backoff)).await;
        backoff = (backoff * 2).min(MAX_BACKOFF);
    }
}

/// Between half the pause and the whole of it, always the same for two routers and a pause.
fn spread(own: &Member, peer: &Member, pause: Duration) -> Duration {
    let text = format!("{}\0{}\0{}", own.id, peer.id, pause.as_millis());
    let share = (xxh3_64(text.as_bytes()) % 1000) as f64 / 1000.0;
    pause.mul_f64(0.5 + share / 2.0)
}

enum Never {}

/// One connection's life.
struct Session<'a> {
    link: &'a Link,
    inner: &'a Arc<Inner>,
    sent: Sent,
    received: Received,
    roster: Option<Instant>,
}

impl<'a> Session<'a> {
    fn new(link: &'a Link, inner: &'a Arc<Inner>) -> Self {
        Self {
            link,
            inner,
            sent: Sent::default(),
            received: Received::default(),
            roster: None,
        }
    }

    async fn run(&mut self, urgent: &Receiver<()>) -> Result<Never, PeerError> {
        let client = socket::connect(self.link.member.address, &self.inner.traffic).await?;
        let answered = client.hello(deadline(), self.inner.own.clone()).await?;
        if answered.id != self.link.member.id {
            return Err(PeerError::WrongPeer);
        }
        let mut extent = Extent::Whole;
        loop {
            self.beat(&client, extent).await?;
            extent = self.wait(urgent).await?;
        }
    }

    /// Until the next heartbeat is due or something is urgent.
    async fn wait(&self, urgent: &Receiver<()>) -> Result<Extent, PeerError> {
        async_std::task::sleep(SHORTEST).await;
        let due = async {
            if !self.link.periodic {
                return futures::future::pending().await;
            }
            async_std::task::sleep(HEARTBEAT_INTERVAL - SHORTEST).await;
        };
        futures::select_biased! {
            told = urgent.recv().fuse() => told.map(|()| Extent::Urgent).map_err(|_| PeerError::Stopped),
            () = due.fuse() => Ok(Extent::Whole),
        }
    }

    async fn beat(&mut self, client: &RouterClient, extent: Extent) -> Result<(), PeerError> {
        let state = self.inner.published();
        // The regular heartbeats of the other end carry the loads of a link that is only for what is urgent.
        let extent = if self.link.periodic { extent } else { Extent::Urgent };
        let beat = self.sent.beat(&state, extent);
        let answer = client.beat(deadline(), beat).await?.ok_or(PeerError::Malformed)?;
        let news = self.received.take(answer).map_err(|_| PeerError::Malformed)?;
        let differs = news.summary.membership != state.membership;
        self.hear(news).await?;
        if differs && self.roster.is_none_or(|last| last.elapsed() >= ROSTER_EVERY) {
            self.roster = Some(Instant::now());
            let roster = client.roster(deadline(), state.roster.clone()).await?;
            self.inner.send(Event::Roster(roster)).await?;
        }
        Ok(())
    }

    async fn hear(&self, news: News) -> Result<(), PeerError> {
        self.inner.tell(&self.link.member, news).await
    }
}

/// A call's deadline, without tracing: a trace id would take 100 bytes of each heartbeat.
pub(crate) fn deadline() -> Context {
    deadline_in(CALL_TIMEOUT)
}

/// A deadline after this time, without tracing.
pub(crate) fn deadline_in(within: Duration) -> Context {
    let mut context = tarpc::context::current();
    context.deadline = Instant::now() + within;
    context.trace_context = tarpc::trace::Context::default();
    context
}
