//! One outgoing connection to a peer and its heartbeats.
//!
//! tarpc does not reconnect, so this module does. The pause doubles after each failure and differs between routers.
//! Otherwise all routers of a domain would connect to a restarted one at the same moments.

use crate::delta::{DeltaDecoder, DeltaEncoder, Extent, Update};
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

/// Time limit of a call.
pub const CALL_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Longest pause between two connection attempts.
pub const MAX_BACKOFF: Duration = Duration::from_secs(3);
const MIN_BACKOFF: Duration = Duration::from_millis(200);
/// Shortest time between two exchanges of differing membership lists. During a partition they differ all the time.
const ROSTER_INTERVAL: Duration = Duration::from_secs(10);
/// Shortest time between two heartbeats, also for urgent changes.
const MIN_INTERVAL: Duration = Duration::from_millis(200);

/// Maintains the link until the task is cancelled. A message on `urgent` triggers a heartbeat at once.
pub(crate) async fn maintain(link: Link, inner: Arc<Inner>, urgent: Receiver<()>) {
    let mut backoff = MIN_BACKOFF;
    loop {
        let mut session = Session::new(&link, &inner);
        let started = Instant::now();
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
        if started.elapsed() > MAX_BACKOFF {
            backoff = MIN_BACKOFF;
        }
        async_std::task::sleep(jittered(&inner.own, &link.member, backoff)).await;
        backoff = (backoff * 2).min(MAX_BACKOFF);
    }
}

/// Returns between half the pause and all of it, always the same for a pair of routers and a pause.
fn jittered(own: &Member, peer: &Member, pause: Duration) -> Duration {
    let text = format!("{}\0{}\0{}", own.id, peer.id, pause.as_millis());
    let share = (xxh3_64(text.as_bytes()) % 1000) as f64 / 1000.0;
    pause.mul_f64(0.5 + share / 2.0)
}

enum Never {}

/// State of one connection.
struct Session<'a> {
    link: &'a Link,
    inner: &'a Arc<Inner>,
    encoder: DeltaEncoder,
    decoder: DeltaDecoder,
    last_roster: Option<Instant>,
}

impl<'a> Session<'a> {
    fn new(link: &'a Link, inner: &'a Arc<Inner>) -> Self {
        Self {
            link,
            inner,
            encoder: DeltaEncoder::default(),
            decoder: DeltaDecoder::default(),
            last_roster: None,
        }
    }

    async fn run(&mut self, urgent: &Receiver<()>) -> Result<Never, PeerError> {
        let client = socket::connect(self.link.member.address, &self.inner.traffic).await?;
        let peer = client.hello(deadline(), self.inner.own.clone()).await?;
        if peer.id != self.link.member.id {
            return Err(PeerError::WrongPeer);
        }
        let mut extent = Extent::Full;
        loop {
            self.beat(&client, extent).await?;
            extent = self.wait(urgent).await?;
        }
    }

    /// Waits until the next heartbeat is due or a change is urgent.
    async fn wait(&self, urgent: &Receiver<()>) -> Result<Extent, PeerError> {
        async_std::task::sleep(MIN_INTERVAL).await;
        let due = async {
            if !self.link.periodic {
                return futures::future::pending().await;
            }
            async_std::task::sleep(HEARTBEAT_INTERVAL - MIN_INTERVAL).await;
        };
        futures::select_biased! {
            woken = urgent.recv().fuse() => woken.map(|()| Extent::Urgent).map_err(|_| PeerError::Stopped),
            () = due.fuse() => Ok(Extent::Full),
        }
    }

    async fn beat(&mut self, client: &RouterClient, extent: Extent) -> Result<(), PeerError> {
        let state = self.inner.published();
        // On a link without periodic heartbeats this end sends urgent changes only. The peer's own periodic heartbeats
        // carry the loads.
        let extent = if self.link.periodic { extent } else { Extent::Urgent };
        let beat = self.encoder.encode(&state, extent);
        let response = client.beat(deadline(), beat).await?.ok_or(PeerError::Malformed)?;
        let update = self.decoder.decode(response).map_err(|_| PeerError::Malformed)?;
        let differs = update.summary.membership != state.membership;
        self.send_update(update).await?;
        if differs && self.last_roster.is_none_or(|last| last.elapsed() >= ROSTER_INTERVAL) {
            self.last_roster = Some(Instant::now());
            let roster = client.roster(deadline(), state.roster.clone()).await?;
            self.inner.send(Event::Roster(roster)).await?;
        }
        Ok(())
    }

    async fn send_update(&self, update: Update) -> Result<(), PeerError> {
        self.inner.send_update(&self.link.member, update).await
    }
}

/// Context with the deadline of a call, without tracing. A trace id would add 100 bytes to each heartbeat.
pub(crate) fn deadline() -> Context {
    deadline_in(CALL_TIMEOUT)
}

/// Context with a deadline after this time, without tracing.
pub(crate) fn deadline_in(within: Duration) -> Context {
    let mut context = tarpc::context::current();
    context.deadline = Instant::now() + within;
    context.trace_context = tarpc::trace::Context::default();
    context
}
