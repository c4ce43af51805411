//! Whether a router that relies on its keys knows what was taken away: a random play against a naive store.

use dispatch::freshness::Freshness;
use quickcheck::{Arbitrary, Gen, QuickCheck};
use std::time::Duration;

const ROUTERS: usize = 4;
const STEP: u64 = 10;
const BOUND: u64 = 5_000;
/// A router whose own knowledge is older than this is not followed.
const FOLLOW_AGE: u64 = 1_700;

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// How long the ways there and back take.
type Ways = (u64, u64);

#[derive(Debug, Clone, Copy)]
enum Move {
    /// Something changes; whoever changes it hears so later.
    Change(u64),
    Ask(usize, Ways),
    Follow(usize, usize, Ways),
    Freeze(usize, u64),
    Restart(usize),
}

impl Arbitrary for Move {
    fn arbitrary(random: &mut Gen) -> Self {
        let number = |random: &mut Gen, of: u64| u64::arbitrary(random) % of;
        let router = |random: &mut Gen| usize::arbitrary(random) % ROUTERS;
        let way = |random: &mut Gen| {
            [number(random, 30), number(random, 30), number(random, 6_000)][usize::arbitrary(random) % 3]
        };
        match number(random, 20) {
            0..=3 => Self::Change(way(random)),
            4 => Self::Freeze(router(random), number(random, 8_000)),
            5 => Self::Restart(router(random)),
            6..=9 => Self::Ask(router(random), (way(random), way(random))),
            _ => Self::Follow(router(random), router(random), (way(random), way(random))),
        }
    }
}

#[derive(Default)]
struct Router {
    freshness: Freshness,
    /// Changes that it knows.
    known: usize,
    /// The newest moment up to which it was told everything.
    told: Option<u64>,
    frozen: u64,
    life: u64,
}

/// A call under way to the store or to another router.
struct Call {
    from: usize,
    life: u64,
    leader: Option<usize>,
    sent: u64,
    ways: Ways,
    arrives: u64,
    /// When it is back, how many changes it brings, and how old that is.
    answer: Option<(u64, usize, u64)>,
}

#[derive(Default)]
struct World {
    now: u64,
    /// When each change was acknowledged.
    acknowledged: Vec<u64>,
    routers: Vec<Router>,
    calls: Vec<Call>,
}

impl World {
    fn on(&mut self, next: Move) {
        let now = self.now;
        let (from, leader, ways) = match next {
            Move::Change(way) => return self.acknowledged.push(now + way),
            Move::Freeze(at, time) => return self.routers[at].frozen = now + time,
            Move::Restart(at) => {
                let life = self.routers[at].life + 1;
                self.routers[at] = Router {
                    life,
                    ..Router::default()
                };
                return;
            }
            Move::Ask(from, ways) => (from, None, ways),
            Move::Follow(from, leader, ways) => (from, Some(leader), ways),
        };
        if self.routers[from].frozen <= now {
            let life = self.routers[from].life;
            self.calls.push(Call {
                from,
                life,
                leader,
                sent: now,
                ways,
                arrives: now + ways.0,
                answer: None,
            });
        }
    }

    /// What the store or a router that is awake answers now; nothing if it has lost the store.
    fn answer(&self, leader: Option<usize>) -> Option<(usize, u64)> {
        let Some(leader) = leader else {
            return Some((self.acknowledged.len(), 0));
        };
        let leader = &self.routers[leader];
        let age = leader.freshness.age(ms(self.now))?.as_millis() as u64;
        (age <= FOLLOW_AGE).then_some((leader.known, age))
    }

    fn calls(&mut self) {
        let now = self.now;
        let mut open = Vec::new();
        for mut call in std::mem::take(&mut self.calls) {
            let frozen = |at: usize| self.routers[at].frozen > now;
            if call.answer.is_none() && call.arrives <= now && !call.leader.is_some_and(frozen) {
                let Some((changes, age)) = self.answer(call.leader) else {
                    continue;
                };
                call.answer = Some((now + call.ways.1, changes, age));
            }
            match call.answer {
                Some((back, changes, age)) if back <= now && !frozen(call.from) => self.back(&call, changes, age),
                _ => open.push(call),
            }
        }
        self.calls = open;
    }

    fn back(&mut self, call: &Call, changes: usize, age: u64) {
        let router = &mut self.routers[call.from];
        let Some(confirmed) = call.sent.checked_sub(age).filter(|_| router.life == call.life) else {
            return;
        };
        router.known = router.known.max(changes);
        router.told = router.told.max(Some(confirmed));
        router.freshness.confirm(ms(confirmed));
    }

    /// A frozen router is looked at too: the first it does when it goes on may be to let a request in.
    fn check(&self) -> Result<(), String> {
        let now = self.now;
        for (at, router) in self.routers.iter().enumerate() {
            let holds = router.freshness.is_fresh(ms(BOUND), ms(now));
            let missing = self
                .acknowledged
                .iter()
                .skip(router.known)
                .find(|done| **done + BOUND < now);
            if let Some(done) = missing.filter(|_| holds) {
                return Err(format!("{at} lacks what was acknowledged at {done}, now {now}"));
            }
            // Nor does it refuse callers when it has been told.
            if holds != router.told.is_some_and(|told| now - told < BOUND) {
                return Err(format!(
                    "{at} was told all until {:?}, at {now} it holds: {holds}",
                    router.told
                ));
            }
        }
        Ok(())
    }
}

fn play(moves: Vec<(u64, Move)>) -> Result<bool, String> {
    let mut world = World {
        now: 10_000,
        routers: (0..ROUTERS).map(|_| Router::default()).collect(),
        ..World::default()
    };
    for (pause, next) in moves {
        world.on(next);
        let end = world.now + pause % 400;
        while world.now < end {
            world.now += STEP;
            world.calls();
            world.check()?;
        }
    }
    Ok(true)
}

/// Answers are late and overtake each other, routers follow one that follows another, freeze and start again. A router that lets requests
/// in by keys that it knows must not lack a change that was acknowledged longer than the bound ago: a key taken away would go on.
#[test]
fn no_interleaving_makes_keys_fresher_than_they_are() {
    QuickCheck::new()
        .tests(1_000)
        .quickcheck(play as fn(Vec<(u64, Move)>) -> Result<bool, String>);
}
