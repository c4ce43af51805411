//! Model test of freshness: random delays, freezes and restarts of routers, compared with a simple model of the store.

use dispatch::freshness::Freshness;
use quickcheck::{Arbitrary, Gen, QuickCheck};
use std::time::Duration;

const ROUTERS: usize = 4;
const STEP: u64 = 10;
const BOUND: u64 = 5_000;
/// A router whose configuration is older than this is not followed.
const FOLLOW_AGE: u64 = 1_700;

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// Delays of a call and of its response.
type Delays = (u64, u64);

#[derive(Debug, Clone, Copy)]
enum Action {
    /// A write to the store, acknowledged after this delay.
    Write(u64),
    CallStore(usize, Delays),
    Follow(usize, usize, Delays),
    Freeze(usize, u64),
    Restart(usize),
}

impl Arbitrary for Action {
    fn arbitrary(random: &mut Gen) -> Self {
        let below = |random: &mut Gen, of: u64| u64::arbitrary(random) % of;
        let router = |random: &mut Gen| usize::arbitrary(random) % ROUTERS;
        let delay = |random: &mut Gen| {
            [below(random, 30), below(random, 30), below(random, 6_000)][usize::arbitrary(random) % 3]
        };
        match below(random, 20) {
            0..=3 => Self::Write(delay(random)),
            4 => Self::Freeze(router(random), below(random, 8_000)),
            5 => Self::Restart(router(random)),
            6..=9 => Self::CallStore(router(random), (delay(random), delay(random))),
            _ => Self::Follow(router(random), router(random), (delay(random), delay(random))),
        }
    }
}

#[derive(Default)]
struct Router {
    freshness: Freshness,
    /// Number of writes that it has received.
    received: usize,
    /// The latest time up to which it has received every write.
    complete_until: Option<u64>,
    frozen_until: u64,
    incarnation: u64,
}

/// A pending call to the store or to an upstream.
struct Call {
    from: usize,
    incarnation: u64,
    upstream: Option<usize>,
    sent: u64,
    delays: Delays,
    arrives: u64,
    /// When the response arrives, the number of writes that it contains, and their age.
    response: Option<(u64, usize, u64)>,
}

#[derive(Default)]
struct Model {
    now: u64,
    /// When each write was acknowledged.
    acknowledged: Vec<u64>,
    routers: Vec<Router>,
    calls: Vec<Call>,
}

impl Model {
    fn on(&mut self, next: Action) {
        let now = self.now;
        let (from, upstream, delays) = match next {
            Action::Write(delay) => return self.acknowledged.push(now + delay),
            Action::Freeze(at, time) => return self.routers[at].frozen_until = now + time,
            Action::Restart(at) => {
                let incarnation = self.routers[at].incarnation + 1;
                self.routers[at] = Router {
                    incarnation,
                    ..Router::default()
                };
                return;
            }
            Action::CallStore(from, delays) => (from, None, delays),
            Action::Follow(from, upstream, delays) => (from, Some(upstream), delays),
        };
        if self.routers[from].frozen_until <= now {
            let incarnation = self.routers[from].incarnation;
            self.calls.push(Call {
                from,
                incarnation,
                upstream,
                sent: now,
                delays,
                arrives: now + delays.0,
                response: None,
            });
        }
    }

    /// The response of the store or of a running router; `None` if that router has lost the store.
    fn respond(&self, upstream: Option<usize>) -> Option<(usize, u64)> {
        let Some(upstream) = upstream else {
            return Some((self.acknowledged.len(), 0));
        };
        let upstream = &self.routers[upstream];
        let age = upstream.freshness.age(ms(self.now))?.as_millis() as u64;
        (age <= FOLLOW_AGE).then_some((upstream.received, age))
    }

    fn deliver_calls(&mut self) {
        let now = self.now;
        let mut pending = Vec::new();
        for mut call in std::mem::take(&mut self.calls) {
            let frozen = |at: usize| self.routers[at].frozen_until > now;
            if call.response.is_none() && call.arrives <= now && !call.upstream.is_some_and(frozen) {
                let Some((writes, age)) = self.respond(call.upstream) else {
                    continue;
                };
                call.response = Some((now + call.delays.1, writes, age));
            }
            match call.response {
                Some((due, writes, age)) if due <= now && !frozen(call.from) => self.receive(&call, writes, age),
                _ => pending.push(call),
            }
        }
        self.calls = pending;
    }

    fn receive(&mut self, call: &Call, writes: usize, age: u64) {
        let router = &mut self.routers[call.from];
        let Some(confirmed) = call
            .sent
            .checked_sub(age)
            .filter(|_| router.incarnation == call.incarnation)
        else {
            return;
        };
        router.received = router.received.max(writes);
        router.complete_until = router.complete_until.max(Some(confirmed));
        router.freshness.confirm(ms(confirmed));
    }

    /// Checks frozen routers too, since a router may admit a request right after it resumes.
    fn check(&self) -> Result<(), String> {
        let now = self.now;
        for (at, router) in self.routers.iter().enumerate() {
            let fresh = router.freshness.is_fresh(ms(BOUND), ms(now));
            let missing = self
                .acknowledged
                .iter()
                .skip(router.received)
                .find(|acknowledged| **acknowledged + BOUND < now);
            if let Some(acknowledged) = missing.filter(|_| fresh) {
                return Err(format!(
                    "router {at} is fresh at {now} without a write acknowledged at {acknowledged}"
                ));
            }
            // A router with a complete configuration doesn't refuse clients.
            if fresh != router.complete_until.is_some_and(|until| now - until < BOUND) {
                return Err(format!(
                    "router {at} is complete until {:?}, fresh at {now}: {fresh}",
                    router.complete_until
                ));
            }
        }
        Ok(())
    }
}

fn run(actions: Vec<(u64, Action)>) -> Result<bool, String> {
    let mut model = Model {
        now: 10_000,
        routers: (0..ROUTERS).map(|_| Router::default()).collect(),
        ..Model::default()
    };
    for (pause, next) in actions {
        model.on(next);
        let end = model.now + pause % 400;
        while model.now < end {
            model.now += STEP;
            model.deliver_calls();
            model.check()?;
        }
    }
    Ok(true)
}

/// Responses are delayed and reordered, and routers follow one another, freeze and restart. A router that considers its
/// configuration fresh must not lack a write that was acknowledged longer than the bound ago: otherwise it would accept
/// a revoked key.
#[test]
fn a_fresh_configuration_contains_all_writes_older_than_the_bound() {
    QuickCheck::new()
        .tests(1_000)
        .quickcheck(run as fn(Vec<(u64, Action)>) -> Result<bool, String>);
}
