//! Endpoints that fall over if they reject too many requests, in front of many routers.

use dispatch::brittle::{BrittleEndpoints, Capacity};
use dispatch::fleet::ShortKey;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::collections::VecDeque;
use std::time::Duration;

const ENDPOINTS: usize = 12;
/// Requests that an endpoint runs at once, and lets wait while brittle.
const SLOTS: usize = 6;
const QUEUE: usize = 2;
const RUN_MS: u64 = 60;
/// Time until a fallen endpoint is back.
const DOWN_MS: u64 = 3_000;
const CAPACITY: Capacity = Capacity {
    slots: SLOTS as u32,
    run_time: Duration::from_millis(RUN_MS),
};
const SECONDS: u64 = 12;
/// Delay of what routers tell each other.
const NEWS_MS: u64 = 100;

#[derive(Debug, Clone, Copy)]
struct Load {
    routers: usize,
    /// Rejections a second that an endpoint stands.
    limit: f64,
    /// Requests, as a share of what all endpoints can run, before and after the burst begins.
    calm: f64,
    burst: f64,
}

#[derive(Default)]
struct Endpoint {
    /// When running and waiting requests end.
    ends: VecDeque<u64>,
    rejected: VecDeque<u64>,
    down_until: u64,
}

#[derive(Debug, Default)]
struct Played {
    falls: usize,
    served: usize,
    rejected: usize,
    refused: usize,
}

impl Endpoint {
    /// Returns whether a request is accepted, and whether the endpoint falls over instead.
    fn offer(&mut self, now: u64, limit: f64) -> (bool, bool) {
        self.ends.retain(|end| *end > now);
        if self.ends.len() < SLOTS + QUEUE {
            let begin = if self.ends.len() < SLOTS {
                now
            } else {
                self.ends[self.ends.len() - SLOTS]
            };
            self.ends.push_back(begin + RUN_MS);
            return (true, false);
        }
        self.rejected.push_back(now);
        self.rejected.retain(|at| at + 1_000 > now);
        let falls = self.rejected.len() as f64 > limit;
        if falls {
            *self = Self {
                down_until: now + DOWN_MS,
                ..Self::default()
            };
        }
        (false, falls)
    }
}

/// Plays the load; with `guarded`, routers decide by [`BrittleEndpoints`].
fn play(load: Load, guarded: bool) -> Played {
    let mut random = ChaCha8Rng::seed_from_u64(7);
    let mut endpoints: Vec<Endpoint> = (0..ENDPOINTS).map(|_| Endpoint::default()).collect();
    let mut routers: Vec<BrittleEndpoints> = (0..load.routers).map(|_| BrittleEndpoints::default()).collect();
    let key = |endpoint: usize| ShortKey(endpoint as u32);
    for router in &mut routers {
        router.set_router_count(load.routers as u32);
        (0..ENDPOINTS).for_each(|endpoint| {
            router.record_limit(key(endpoint), Some(load.limit), Duration::ZERO);
        });
    }
    let capacity = (ENDPOINTS * SLOTS) as f64 / RUN_MS as f64;
    let mut told: VecDeque<(u64, Vec<u32>)> = VecDeque::new();
    let mut played = Played::default();
    for now in 0..SECONDS * 1_000 {
        let at = Duration::from_millis(now);
        if now % 25 == 0 {
            let mut counts = vec![0; ENDPOINTS];
            for router in &mut routers {
                for (endpoint, count) in router.own_rejections(at) {
                    counts[endpoint.0 as usize] += count;
                }
            }
            told.push_back((now + NEWS_MS, counts));
        }
        if told.front().is_some_and(|(due, _)| *due <= now) {
            let (_, counts) = told.pop_front().expect("an entry");
            for router in &mut routers {
                let own: Vec<(ShortKey, u32)> = router.own_rejections(at);
                router.tick(at);
                for (endpoint, total) in counts.iter().enumerate() {
                    let known = own
                        .iter()
                        .find(|(name, _)| *name == key(endpoint))
                        .map_or(0, |(_, count)| *count);
                    router.merge_rejections(key(endpoint), total.saturating_sub(known), at);
                }
            }
        }
        let share = if now < 3_000 { load.calm } else { load.burst };
        let mut expected = capacity * share;
        while expected > 0.0 && random.random_bool(expected.min(1.0)) {
            expected -= 1.0;
            let router = random.random_range(0..load.routers);
            request(
                load,
                guarded,
                &mut routers[router],
                &mut endpoints,
                &mut random,
                now,
                &mut played,
            );
        }
    }
    played
}

fn request(
    load: Load,
    guarded: bool,
    router: &mut BrittleEndpoints,
    endpoints: &mut [Endpoint],
    random: &mut ChaCha8Rng,
    now: u64,
    played: &mut Played,
) {
    let at = Duration::from_millis(now);
    let mut tried = Vec::new();
    for _ in 0..2 {
        let usable = |endpoint: &usize| {
            endpoints[*endpoint].down_until <= now
                && !tried.contains(endpoint)
                && (!guarded || router.wait(ShortKey(*endpoint as u32), CAPACITY, at).is_zero())
        };
        let open: Vec<usize> = (0..endpoints.len()).filter(usable).collect();
        if open.is_empty() {
            break;
        }
        let chosen = open[random.random_range(0..open.len())];
        router.record_request(ShortKey(chosen as u32), CAPACITY, at);
        let (accepted, falls) = endpoints[chosen].offer(now, load.limit);
        if accepted {
            router.record_limit(ShortKey(chosen as u32), Some(load.limit), at);
            played.served += 1;
            return;
        }
        played.rejected += 1;
        played.falls += usize::from(falls);
        router.record_rejection(ShortKey(chosen as u32), at);
        tried.push(chosen);
    }
    played.refused += 1;
}

/// Under a burst endpoints that reject too much fall over one after the other, and each fall makes the next more
/// likely.
#[test]
fn brittle_endpoints_do_not_fall_over_under_a_burst() {
    for routers in [3, 13, 104, 300] {
        for limit in [3.0, 8.0, 20.0] {
            let load = Load {
                routers,
                limit,
                calm: 0.3,
                burst: 1.5,
            };
            let (guarded, before) = (play(load, true), play(load, false));
            println!("{routers} routers, {limit} a second: {guarded:?}; without: {before:?}");
            let allowed = 2 + ENDPOINTS / 10;
            assert!(
                guarded.falls <= allowed,
                "{routers} routers, {limit}: {} falls",
                guarded.falls
            );
            assert!(
                guarded.served >= before.served,
                "{routers} routers, {limit}: less is served"
            );
        }
    }
}
