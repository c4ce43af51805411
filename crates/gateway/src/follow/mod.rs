//! Follows the store, directly or by another router, and tells the control thread.
//!
//! Few routers of a failure domain watch the store; the others follow one of them, since every call to the store is
//! priced. Each answer also proves how fresh the document is, so nobody waits long for one: a router that hears nothing
//! for longer than the bound on revoked keys has to refuse. A short wait also shows a connection that has gone silent.

mod backlogs;
mod documents;
pub mod loads;
mod members;
mod names;
mod others;
mod prefixes;
pub mod relay;
mod uptime;

pub use backlogs::tell_backlogs;
pub use members::{Members, register};
pub use names::learn_names;
pub use prefixes::follow_prefixes;
pub use uptime::witness_uptime;

use crate::control::{Event, send};
use crate::shared::Shared;
use async_std::task;
use dispatch::uptime::Span;
use ids::VmId;
use peers::{Follow, Followed, Leader, PeerError};
use rand::RngExt;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;
use store::items::{Change, Client, Item, ItemsError, Position, Watched};

/// How long a watch of the store waits: what followers get is up to this old, and must reach them within the bound on
/// configurations, 2 s at the sites.
const WAIT: Duration = Duration::from_millis(1_000);
/// Pause after a watch that brought changes. Endpoints' entries change ten times a second while weights are loaded; each change
/// would end a watch of each router that keeps one, and every watch is priced. The watch after it waits that much shorter, so that
/// one whose answer is lost delays a change as long as ever: documents must be in force within 2 s at the sites.
const GATHER: Duration = Duration::from_millis(200);
/// How much longer its answer may take to begin.
const GRACE: Duration = Duration::from_millis(800);
/// The same while the store does not answer: the sooner its return is known, the better it is known which entries may have lapsed.
const LOST_GRACE: Duration = Duration::from_millis(600);
/// How long another router's answer may wait, and how much longer it may take to begin. Together the time after which a router
/// that falls silent is left.
const FOLLOW_WAIT: Duration = Duration::from_millis(600);
const FOLLOW_GRACE: Duration = Duration::from_millis(400);
/// Longest wait for a connection to another router of the domain.
const FOLLOW_CONNECT: Duration = Duration::from_millis(300);
/// Time after the store's last answer in which a router has the next one, or has lost the store: then it is followed no more, and asks the
/// store without waiting for changes. A watch, the pause after it and the store's slowest answer fit in.
const CURRENT: Duration = Duration::from_millis(1_500);
/// Least wait for another router's news; it would be asked all the time if what is known were nearly too old.
const FOLLOW_LEAST: Duration = Duration::from_millis(100);
/// How much longer another router's answer may take to begin if what is known is nearly too old.
const FOLLOW_SPARE: Duration = Duration::from_millis(200);
/// How long a router that was left is not tried again.
const LEFT_FOR: Duration = Duration::from_secs(3);
/// Longest wait for a page of the first read to begin.
const READ: Duration = Duration::from_millis(2_000);
/// Wait of a router that has read all before it follows anyone: routers that start together have registered by then.
const SETTLE: Duration = Duration::from_millis(1_200);
/// First wait after a failed call, doubled with each further one.
const AGAIN: Duration = Duration::from_millis(50);
/// Longest wait after a failed call: a router out of touch is back within this time after the store is.
const AGAIN_MOST: Duration = Duration::from_millis(400);

/// Everything under the store's root: operators' documents, endpoints' entries and the routers' own keys.
const ROOT: &str = "";

/// Follows the store until the process ends.
pub async fn follow(shared: Arc<Shared>) {
    let mut feed = Feed::new(shared);
    loop {
        let result = feed.step().await;
        match result {
            Ok(()) => feed.failures = 0,
            Err(err) => feed.failed(&err).await,
        }
    }
}

struct Feed {
    shared: Arc<Shared>,
    address: SocketAddr,
    client: Client,
    leader: Option<(VmId, Leader)>,
    /// Routers that were left, and until when.
    left: HashMap<VmId, Duration>,
    /// Pause before the next watch.
    paused: Duration,
    /// When the answer to the last call to the store was due.
    due: Duration,
    /// Whether the store's history is gone, so that all must be read again.
    forgotten: bool,
    failures: u32,
}

impl Feed {
    fn new(shared: Arc<Shared>) -> Self {
        let address = shared.settings.load().store;
        let client = Client::new(address, shared.dialect.store);
        Self {
            shared,
            address,
            client,
            leader: None,
            left: HashMap::new(),
            paused: Duration::ZERO,
            due: Duration::ZERO,
            forgotten: false,
            failures: 0,
        }
    }

    async fn step(&mut self) -> Result<(), ItemsError> {
        self.move_along();
        let known = self.shared.relay.lock().log.position();
        let Some(known) = known.filter(|_| !self.forgotten) else {
            self.read().await?;
            task::sleep(self.settle()).await;
            return Ok(());
        };
        let left = self.current_for();
        if left.is_zero() {
            return self.watch(known, Duration::ZERO, LOST_GRACE).await;
        }
        match self.next_leader().await {
            Some((vm, leader)) => self.follow_leader(vm, leader, known).await,
            None => {
                let wait = (WAIT - std::mem::take(&mut self.paused)).min(self.current_for());
                self.watch(known, wait, GRACE).await?;
            }
        }
        Ok(())
    }

    /// How long what is known of the store stays current.
    fn current_for(&self) -> Duration {
        let age = self.shared.uptime().age(self.shared.clock.now());
        CURRENT.saturating_sub(age.unwrap_or(CURRENT))
    }

    /// Only a router that has just started waits for the others to register.
    fn settle(&self) -> Duration {
        SETTLE.saturating_sub(self.shared.clock.now())
    }

    /// Takes over another address of the store after a reload. Its revisions need not continue those of the one before.
    fn move_along(&mut self) {
        let address = self.shared.settings.load().store;
        if address != self.address {
            log::info!(from:% = self.address, to:% = address; "store: another address");
            self.address = address;
            self.client = Client::new(address, self.shared.dialect.store);
            self.forgotten = true;
        }
    }

    /// The router to follow now; none if this one watches the store itself.
    async fn next_leader(&mut self) -> Option<(VmId, Leader)> {
        let settings = self.shared.settings.load_full();
        let members = Members::read(&self.shared);
        {
            let mut fleet = self.shared.fleet();
            fleet.set_router_count(members.count());
            fleet.set_routers(&settings.vm, &members.ids());
        }
        let leaders = members.leaders(&settings.vm, &settings.domain);
        self.shared.watches.store(leaders.is_empty(), Ordering::SeqCst);
        let now = self.shared.clock.now();
        self.left.retain(|_, until| now < *until);
        let leaders = leaders.into_iter().filter(|(vm, _)| !self.left.contains_key(vm));
        for (vm, address) in leaders.collect::<Vec<_>>() {
            if let Some(kept) = self.leader.take_if(|(known, _)| *known == vm) {
                return Some(kept);
            }
            match Leader::connect(address, FOLLOW_CONNECT).await {
                Ok(leader) => {
                    log::info!(router = vm.as_str(); "store: followed by another router");
                    return Some((vm, leader));
                }
                Err(err) => self.leave(vm, &err.to_string()),
            }
        }
        None
    }

    fn leave(&mut self, vm: VmId, why: &str) {
        log::warn!(router = vm.as_str(), why = why; "store: a router is not followed any more");
        self.left.insert(vm, self.shared.clock.now() + LEFT_FOR);
    }

    async fn follow_leader(&mut self, vm: VmId, leader: Leader, known: Position) {
        let sent = self.shared.clock.now();
        let left = self.current_for();
        let wait = left.saturating_sub(FOLLOW_SPARE).clamp(FOLLOW_LEAST, FOLLOW_WAIT);
        let follow = Follow {
            after: Some(known.revision),
            era: Some(known.era),
            wait_ms: wait.as_millis() as u64,
            unpacks: true,
        };
        let grace = left.saturating_sub(wait).clamp(FOLLOW_SPARE, FOLLOW_GRACE);
        let followed = leader.follow(follow, grace).await;
        self.count("follow", followed.is_ok());
        let followed = match followed {
            Ok(followed) => followed,
            Err(err) => {
                if let PeerError::Late(received) = err {
                    self.given_up("router", received);
                }
                return self.leave(vm, &err.to_string());
            }
        };
        let now = self.shared.clock.now();
        // The answer was made after the question left and had waited there.
        let made = sent + Duration::from_millis(followed.waited_ms);
        let answers = followed.answers.and_then(|told| uptime::span(told, made, now));
        // A slow link says nothing of the other router, so only what was so when it answered counts.
        let Some(answers) = answers.filter(|answers| made < answers.until + CURRENT) else {
            return self.leave(vm, "it has lost the store");
        };
        let position = followed.revision.map(|revision| Position {
            era: followed.era.unwrap_or(known.era),
            revision,
        });
        let Some(position) = position.filter(|position| *position >= known) else {
            return self.leave(vm, "it is behind");
        };
        let age = followed.age_ms.map(Duration::from_millis);
        let confirmed = age.and_then(|age| made.checked_sub(age));
        match self.tell(followed, position, confirmed, answers).await {
            Ok(()) => self.leader = Some((vm, leader)),
            Err(err) => self.leave(vm, &err.to_string()),
        }
    }

    async fn tell(
        &self,
        followed: Followed,
        position: Position,
        confirmed: Option<Duration>,
        answers: Span,
    ) -> Result<(), PeerError> {
        let items = followed.items.into_iter().map(relay::item);
        let mut items = items.collect::<Result<Vec<Item>, PeerError>>()?;
        // Taken in by their keys, the right to give orders would come before the list of whoever had it last.
        items.sort_by_key(|item| item.revision);
        let event = if followed.whole {
            Event::Read {
                items,
                position,
                confirmed,
                answers,
            }
        } else {
            let gone = followed.removed.into_iter();
            let revision = position.revision;
            let gone = gone.map(|key| Change::Removed { key, revision });
            Event::Changed {
                changes: items.into_iter().map(Change::Written).chain(gone).collect(),
                position,
                confirmed,
                answers,
            }
        };
        self.tell_and_wait(event, position).await;
        Ok(())
    }

    async fn read(&mut self) -> Result<(), ItemsError> {
        let sent = self.shared.clock.now();
        self.due = sent;
        let read = self.client.all(ROOT, READ).await;
        self.count("range", read.is_ok());
        let (items, position) = read?;
        self.forgotten = false;
        let known = self.shared.relay.lock().log.position();
        let misled = known.is_none_or(|known| known.era != position.era);
        let event = Event::Read {
            items,
            position,
            confirmed: (!misled).then_some(sent),
            answers: self.answered(),
        };
        self.tell_and_wait(event, position).await;
        if misled {
            let newest = documents::newest(&self.shared).await;
            let event = Event::DocumentTold {
                newest,
                confirmed: sent,
            };
            send(&self.shared, event).await;
        }
        Ok(())
    }

    /// The store has just answered.
    fn answered(&self) -> Span {
        let now = self.shared.clock.now();
        Span { from: now, until: now }
    }

    async fn watch(&mut self, known: Position, wait: Duration, grace: Duration) -> Result<(), ItemsError> {
        let sent = self.shared.clock.now();
        self.due = sent + wait;
        let watched = self.client.watch(ROOT, known, wait, grace).await;
        self.count("watch", watched.is_ok());
        match watched? {
            Watched::Changes(changes) => {
                let position = Position {
                    revision: changes.revision.max(known.revision),
                    ..known
                };
                let event = Event::Changed {
                    changes: changes.changes,
                    position,
                    confirmed: Some(sent),
                    answers: self.answered(),
                };
                self.tell_and_wait(event, position).await;
                task::sleep(GATHER).await;
                self.paused = GATHER;
            }
            Watched::Forgotten => {
                log::warn!(revision = known.revision; "store: history forgotten, reading all again");
                self.forgotten = true;
            }
            Watched::Restored(era) => {
                log::warn!(
                    era = known.era,
                    revision = known.revision,
                    now = era;
                    "store: it came back from a copy, reading all again"
                );
                self.forgotten = true;
            }
        }
        Ok(())
    }

    /// The control thread must have taken this over before the next call names its position.
    async fn tell_and_wait(&self, event: Event, position: Position) {
        send(&self.shared, event).await;
        while self.shared.relay.lock().log.position() < Some(position) {
            task::sleep(Duration::from_millis(1)).await;
        }
    }

    fn count(&self, call: &str, done: bool) {
        let outcome = if done { "ok" } else { "failed" };
        let calls = &self.shared.metrics.store;
        calls.with_label_values(&[call, outcome]).inc();
    }

    fn given_up(&self, sender: &str, received: u64) {
        let bytes = &self.shared.metrics.given_up;
        bytes.with_label_values(&[sender]).inc_by(received);
    }

    async fn failed(&mut self, err: &ItemsError) {
        if let ItemsError::Lost(received) = err {
            self.given_up("store", *received);
        }
        if self.failures == 0 {
            log::warn!(why:% = err; "store: lost");
        }
        self.failures += 1;
        // A call that was refused at once was not yet due.
        let due = self.due.min(self.shared.clock.now());
        send(&self.shared, Event::StoreFailed { due }).await;
        let most = (AGAIN * 2_u32.saturating_pow(self.failures - 1)).min(AGAIN_MOST);
        let share = rand::rng().random_range(0.5..1.0);
        task::sleep(most.mul_f64(share)).await;
    }
}
