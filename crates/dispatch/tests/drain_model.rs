//! Model test of the endpoints in service: random outages of the store, removals and restarts, compared with a simple
//! model.

use dispatch::roster::{ListChange, Roster};
use dispatch::site::EndpointEntry;
use dispatch::uptime::Span;
use ids::{DomainId, EndpointId, Incarnation, ServiceId, SoftwareVersion};
use quickcheck::{Arbitrary, Gen, QuickCheck};
use std::collections::BTreeMap;
use std::time::Duration;

const ENDPOINTS: usize = 4;
const STEP: u64 = 50;
/// How long the store has been available when a run starts.
const START: u64 = 10_000;
/// Interval at which a router calls `Roster::tick`.
const TICK: u64 = 200;
/// Minimum duration of endpoint leases, which expire while the store is unavailable.
const MIN_LEASE: u64 = 2_400;
/// Shortest outage. A shorter one can't be distinguished from a failed call, however early it is noticed.
const MIN_OUTAGE: u64 = 1_000;
/// Maximum time between two responses while a router reaches the store.
const WATCH: u64 = 1_000;
/// Age of the last response from which the router sends a new call at once.
const MAX_AGE: u64 = 1_500;
/// Maximum time between two calls while calls fail.
const RETRY: u64 = 900;
/// Maximum time after the store's recovery until a healthy endpoint has registered again.
const MAX_REGISTER_TIME: u64 = 2_000;
/// Time after the store's recovery at which an endpoint that hasn't registered is dropped.
const DROP_TIME: u64 = 2_500;

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

#[derive(Debug, Clone, Copy)]
enum Action {
    /// An endpoint starts or restarts, at its own address or at that of another one.
    Start(usize, usize),
    /// An endpoint begins to drain.
    Drain(usize),
    /// An entry is removed, with or without draining before.
    Remove(usize),
    /// An entry is overwritten with invalid bytes.
    Corrupt(usize),
    /// The whole list is read again.
    Reread,
    /// One call fails and the next one succeeds, this much later.
    Fail(u64),
    /// The store is unavailable: duration, delay until it is noticed, and for each endpoint when it registers again, if
    /// at all.
    Outage(u64, u64, [Option<u64>; ENDPOINTS]),
    /// Only this router can't reach the store: duration, the endpoints that are removed meanwhile, and whether a
    /// peer reports the availability of the store afterwards.
    Partition(u64, [bool; ENDPOINTS], bool),
    /// From now on responses come through an upstream and are this old, or come from the store itself.
    Follow(Option<u64>),
}

impl Arbitrary for Action {
    fn arbitrary(random: &mut Gen) -> Self {
        let below = |random: &mut Gen, of: usize| usize::arbitrary(random) % of;
        let at = below(random, ENDPOINTS);
        match below(random, 16) {
            0..=2 => Self::Start(at, below(random, ENDPOINTS)),
            3 => Self::Drain(at),
            4 => Self::Remove(at),
            5 => Self::Corrupt(at),
            6 | 7 => Self::Reread,
            8 => Self::Fail(below(random, 600) as u64),
            9..=11 => {
                let time = [MIN_OUTAGE, 2_500, 9_000][below(random, 3)] + below(random, 1_000) as u64;
                Self::Partition(
                    time,
                    [(); ENDPOINTS].map(|()| below(random, 3) == 0),
                    bool::arbitrary(random),
                )
            }
            12 => Self::Follow(bool::arbitrary(random).then(|| below(random, WATCH as usize) as u64)),
            _ => {
                let time = [MIN_OUTAGE, 2_500, 4_000, 20_000][below(random, 4)] + below(random, 1_000) as u64;
                let registers = [(); ENDPOINTS]
                    .map(|()| (below(random, 3) > 0).then(|| below(random, MAX_REGISTER_TIME as usize) as u64));
                Self::Outage(time, below(random, 300) as u64, registers)
            }
        }
    }
}

/// Actual state of one endpoint.
#[derive(Debug, Clone, Default)]
struct ActualState {
    /// Its entry in the store.
    entry: Option<EndpointEntry>,
    /// The entry if it expired, and when the endpoint registers again; `None` if it has failed.
    expired: Option<(EndpointEntry, Option<u64>)>,
}

struct Model {
    now: u64,
    roster: Roster,
    actual: Vec<ActualState>,
    /// When the store, or this router's path to it, last recovered. For some time after it a missing entry may have
    /// expired.
    recovered: Option<u64>,
    /// Since when the store has been available to peers.
    available_since: u64,
    /// Age of the responses that come through an upstream; `None` if they come from the store.
    response_age: Option<u64>,
    /// When a call last succeeded after a failed one.
    succeeded: u64,
    /// When the last response arrived, and when the store had sent it.
    received: u64,
    sent: u64,
    /// Whether only this router is partitioned from the store.
    partitioned: bool,
    /// Until when calls fail.
    failing_until: Option<u64>,
    incarnations: u64,
}

fn id(at: usize) -> EndpointId {
    EndpointId::from(format!("e{at}").as_str())
}

impl Model {
    fn entry(&mut self, at: usize, address: usize) -> EndpointEntry {
        self.incarnations += 1;
        EndpointEntry {
            id: id(at),
            service: ServiceId::from("s"),
            address: format!("10.0.0.{address}:80").parse().expect("an address"),
            domain: DomainId::from("here"),
            slots: 8,
            software: SoftwareVersion::from("v1"),
            draining: false,
            incarnation: Incarnation(self.incarnations),
            weights: Vec::new(),
        }
    }

    fn respond(&mut self) {
        let (from, until) = match self.response_age {
            Some(age) => (
                self.available_since,
                self.now.saturating_sub(age).max(self.available_since),
            ),
            None => (self.now, self.now),
        };
        self.roster.store_answered(Span {
            from: ms(from),
            until: ms(until),
        });
        self.received = self.now;
        self.sent = until;
    }

    fn notify(&mut self, change: ListChange) {
        self.respond();
        self.roster.apply(change, ms(self.now));
    }

    /// A peer reports since when it has reached the store.
    fn report_availability(&mut self) {
        let answers = Span {
            from: ms(self.available_since),
            until: ms(self.now),
        };
        self.roster.store_answered_peer(answers, ms(self.now));
    }

    /// Writes an entry to the store, and notifies the router.
    fn write(&mut self, at: usize, entry: EndpointEntry) {
        self.actual[at] = ActualState {
            entry: Some(entry.clone()),
            expired: None,
        };
        self.notify(ListChange::Listed(entry));
    }

    fn read(&mut self) {
        let list = self.actual.iter().filter_map(|actual| actual.entry.clone());
        let list = list.map(ListChange::Listed).collect();
        self.respond();
        self.roster.replace(list, ms(self.now));
    }

    fn on(&mut self, next: Action) {
        match next {
            Action::Start(at, address) => {
                let entry = self.entry(at, address);
                self.write(at, entry);
            }
            Action::Drain(at) => {
                let current = self.actual[at].entry.clone();
                if let Some(entry) = current {
                    self.write(
                        at,
                        EndpointEntry {
                            draining: true,
                            ..entry
                        },
                    );
                }
            }
            Action::Remove(at) | Action::Corrupt(at) if self.actual[at].entry.is_some() => {
                self.actual[at] = ActualState::default();
                let corrupt = matches!(next, Action::Corrupt(_));
                let change = if corrupt {
                    ListChange::Unreadable
                } else {
                    ListChange::Removed
                };
                self.notify(change(id(at)));
            }
            Action::Remove(_) | Action::Corrupt(_) => {}
            Action::Reread => self.read(),
            Action::Fail(time) => {
                self.roster.store_failed(ms(self.now));
                self.failing_until = Some(self.now + time);
                self.advance(time);
                self.failing_until = None;
                self.succeeded = self.now;
                self.read();
            }
            Action::Outage(time, noticed, registers) => self.outage(time, noticed, registers),
            Action::Partition(time, removed, reported) => self.partition(time, removed, reported),
            Action::Follow(age) => self.response_age = age,
        }
        self.check();
    }

    /// The store is unavailable and recovers. All entries whose leases have expired disappear at once.
    fn outage(&mut self, time: u64, noticed: u64, registers: [Option<u64>; ENDPOINTS]) {
        self.failing_until = Some(self.now + time);
        self.advance(noticed);
        self.fail_calls(time - noticed);
        self.available_since = self.now;
        self.failing_until = None;
        self.recovered = Some(self.now);
        self.succeeded = self.now;
        for (actual, registers) in self.actual.iter_mut().zip(registers) {
            let at = |delay| self.now + delay;
            if let Some(entry) = actual.entry.take_if(|_| time > MIN_LEASE) {
                actual.expired = Some((entry, registers.map(at)));
            } else if let Some((_, Some(due))) = &mut actual.expired {
                // The endpoint is healthy but could not register before the store failed again.
                *due = at(registers.unwrap_or_default());
            }
        }
        self.read();
        self.report_availability();
    }

    /// Lets calls fail repeatedly.
    fn fail_calls(&mut self, time: u64) {
        let end = self.now + time;
        while self.now < end {
            self.roster.store_failed(ms(self.now));
            self.advance(RETRY.min(end - self.now));
        }
    }

    /// This router is partitioned from the store, which meanwhile works as usual for the others.
    fn partition(&mut self, time: u64, removed: [bool; ENDPOINTS], reported: bool) {
        self.failing_until = Some(self.now + time);
        self.partitioned = true;
        self.fail_calls(time / 2);
        for (actual, _) in self.actual.iter_mut().zip(removed).filter(|(_, removed)| *removed) {
            *actual = ActualState::default();
        }
        self.fail_calls(time - time / 2);
        self.failing_until = None;
        self.partitioned = false;
        self.succeeded = self.now;
        // Endpoints that had not registered after an outage have done so meanwhile. Their entries come with the first
        // response.
        for actual in &mut self.actual {
            let due = |(_, due): &mut (EndpointEntry, Option<u64>)| due.is_some_and(|due| due <= self.now);
            if let Some((entry, _)) = actual.expired.take_if(due) {
                actual.entry = Some(entry);
            }
        }
        if !reported {
            self.recovered = Some(self.now);
        }
        self.read();
        if reported {
            self.report_availability();
        }
    }

    fn advance(&mut self, time: u64) {
        let end = self.now + time;
        while self.now < end {
            self.now = (self.now + STEP - self.now % STEP).min(end);
            if self.failing_until.is_none() {
                self.register();
                if self.now >= self.received + WATCH || self.now >= self.sent + MAX_AGE {
                    self.respond();
                }
            }
            if self.now.is_multiple_of(TICK) {
                self.roster.tick(ms(self.now));
            }
            self.check();
        }
    }

    fn register(&mut self) {
        for at in 0..ENDPOINTS {
            let due = |(_, due): &(EndpointEntry, Option<u64>)| due.is_some_and(|due| due <= self.now);
            if let Some((entry, _)) = self.actual[at].expired.clone().filter(due) {
                self.write(at, entry);
            }
        }
    }

    fn check(&self) {
        let in_service: BTreeMap<EndpointId, EndpointEntry> = self
            .roster
            .all()
            .filter(|entry| !entry.draining)
            .map(|entry| (entry.id.clone(), (**entry).clone()))
            .collect();
        let now = self.now;
        // During this time a missing entry may have expired. A router drops entries only at a tick.
        let undecided = self.failing_until.is_some()
            || now < self.succeeded + TICK
            || self
                .recovered
                .is_some_and(|recovered| now < recovered + DROP_TIME + TICK);
        for (at, actual) in self.actual.iter().enumerate() {
            let in_service = in_service.get(&id(at));
            let healthy = actual.expired.as_ref().filter(|(_, registers)| registers.is_some());
            let expected = actual.entry.as_ref().or(healthy.map(|(entry, _)| entry));
            let expected = expected.filter(|entry| !entry.draining);
            if let Some(expected) = expected {
                assert_eq!(in_service, Some(expected), "{at} is healthy at {now}");
            } else {
                assert!(
                    in_service.is_none() || undecided,
                    "{at} has failed or was removed, but is in service at {now}"
                );
            }
            // A missing entry of a draining endpoint was removed and did not expire.
            let kept = self.roster.get(&id(at)).is_some_and(|entry| entry.draining);
            let listed = actual.entry.is_some() || self.partitioned;
            assert!(
                !kept || listed,
                "{at} was removed after draining, but is in the roster at {now}"
            );
            let draining = actual.entry.as_ref().is_some_and(|entry| entry.draining);
            let drained = actual.expired.as_ref().is_some_and(|(entry, _)| entry.draining);
            assert!(
                in_service.is_none() || !(draining || drained),
                "{at} is draining, but is in service at {now}"
            );
        }
    }
}

fn run(actions: Vec<(u64, Action)>) -> bool {
    let mut model = Model {
        now: START,
        roster: Roster::default(),
        actual: vec![ActualState::default(); ENDPOINTS],
        recovered: None,
        available_since: 0,
        response_age: None,
        succeeded: START,
        received: START,
        sent: START,
        partitioned: false,
        failing_until: None,
        incarnations: 0,
    };
    for (pause, next) in actions {
        model.advance(pause % 1_500);
        model.on(next);
    }
    model.advance(5_000);
    true
}

/// Endpoints start, drain, disappear and restart. The store is unavailable once or several times in a row, or only this
/// router is partitioned from it. A request to a removed or draining endpoint would be lost, and without healthy
/// endpoints clients would be refused.
#[test]
fn only_healthy_endpoints_are_in_service_after_any_outage() {
    QuickCheck::new()
        .tests(400)
        .quickcheck(run as fn(Vec<(u64, Action)>) -> bool);
}
