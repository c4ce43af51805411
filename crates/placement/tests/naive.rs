//! Compares the placer with a naive one that stores every reply, sorts all endpoints and examines all of them.

mod support;

use ids::Incarnation;
use placement::{Candidate, Choice, EndpointKey, Placer, PrefixChain};
use quickcheck::{Arbitrary, Gen, QuickCheck};
use std::time::Duration;
use support::{chain, secs, spread};

/// Fixed seed, so that each run tests the same cases.
const SEED: u64 = 6;

fn seeded() -> QuickCheck {
    QuickCheck::new().rng(Gen::from_size_and_seed(100, SEED))
}

/// Number of endpoints that reply. Equal to the index's holders per block, since the naive placer has no such bound.
const HOLDERS: u64 = 4;
const ENTRY_TTL: f64 = 5.0;
const DECAY_TIME: f64 = 30.0;

/// A reply received by the router.
#[derive(Debug, Clone)]
struct Reply {
    endpoint: EndpointKey,
    incarnation: u64,
    chain: [u64; 4],
    at: f64,
}

#[derive(Debug, Clone)]
struct Scenario {
    candidates: Vec<Candidate>,
    replies: Vec<Reply>,
    invalidation: Option<(usize, EndpointKey)>,
    chain: [u64; 4],
    draw: u64,
}

fn random_below(gen_: &mut Gen, below: u64) -> u64 {
    u64::arbitrary(gen_) % below
}

fn random_chain(gen_: &mut Gen) -> [u64; 4] {
    [
        random_below(gen_, 2),
        random_below(gen_, 3),
        random_below(gen_, 3),
        random_below(gen_, 1000),
    ]
}

impl Arbitrary for Scenario {
    fn arbitrary(gen_: &mut Gen) -> Self {
        let count = random_below(gen_, 9);
        let mut candidates = support::candidates(count);
        for candidate in &mut candidates {
            candidate.incarnation = Incarnation(1 + random_below(gen_, 2));
            candidate.same_domain = bool::arbitrary(gen_);
            candidate.in_flight = random_below(gen_, 10) as u32;
            candidate.queued = random_below(gen_, 3) * random_below(gen_, 40_000);
            candidate.speed = [1.0, 1.0, 0.25][random_below(gen_, 3) as usize];
            candidate.weight = [1.0, 0.7, 1.3][random_below(gen_, 3) as usize];
        }
        let mut at = 0.0;
        let replies = (0..random_below(gen_, 12)).map(|_| {
            at += random_below(gen_, 3000) as f64 / 1000.0;
            let endpoint = EndpointKey(spread(1 + random_below(gen_, HOLDERS)));
            Reply {
                endpoint,
                incarnation: 1 + random_below(gen_, 2),
                chain: random_chain(gen_),
                at,
            }
        });
        let replies: Vec<Reply> = replies.collect();
        let invalidated = (
            random_below(gen_, 13) as usize % (replies.len() + 1),
            EndpointKey(spread(1 + random_below(gen_, HOLDERS))),
        );
        let invalidation = bool::arbitrary(gen_).then_some(invalidated);
        Self {
            candidates,
            replies,
            invalidation,
            chain: random_chain(gen_),
            draw: u64::arbitrary(gen_),
        }
    }
}

fn to_chain([scope, tenant, task, own]: [u64; 4]) -> PrefixChain {
    chain(scope, tenant, task, own)
}

impl Scenario {
    fn now(&self) -> f64 {
        self.replies.last().map_or(0.0, |reply| reply.at) + 1.0
    }

    fn placer(&self) -> Placer {
        let mut placer = Placer::builder()
            .entry_ttl(secs(ENTRY_TTL))
            .decay_time(secs(DECAY_TIME))
            .build();
        for (at, reply) in self.replies.iter().enumerate() {
            self.invalidated(at)
                .into_iter()
                .for_each(|endpoint| placer.mark_uncertain(endpoint));
            placer.learn(
                reply.endpoint,
                Incarnation(reply.incarnation),
                &to_chain(reply.chain),
                0,
                secs(reply.at),
            );
        }
        self.invalidated(self.replies.len())
            .into_iter()
            .for_each(|endpoint| placer.mark_uncertain(endpoint));
        placer
    }

    fn invalidated(&self, at: usize) -> Option<EndpointKey> {
        self.invalidation
            .filter(|invalidation| invalidation.0 == at)
            .map(|invalidation| invalidation.1)
    }

    fn share(&self, level: u64) -> f64 {
        let decayed = |reply: &Reply| ((reply.at - self.now()) / DECAY_TIME).exp();
        let has = |reply: &&Reply| to_chain(reply.chain).levels().iter().any(|other| other.hash == level);
        let all: f64 = self.replies.iter().map(decayed).sum();
        self.replies.iter().filter(has).map(decayed).sum::<f64>() / (all + 5.0)
    }

    /// Cached blocks of the prompt at a candidate, by the replies that are still valid.
    fn learnt(&self, chain: &PrefixChain, candidate: &Candidate) -> usize {
        let valid = |at: usize, reply: &Reply| {
            let invalidated = self
                .invalidation
                .is_some_and(|invalidation| invalidation.1 == candidate.endpoint && at < invalidation.0);
            let same = reply.endpoint == candidate.endpoint && reply.incarnation == candidate.incarnation.0;
            same && !invalidated && self.now() - reply.at <= ENTRY_TTL
        };
        let is_cached = |block: &u64| {
            let latest = self.replies.iter().enumerate().rev();
            let mut latest = latest.filter(|(_, reply)| reply.endpoint == candidate.endpoint);
            latest
                .find(|(_, reply)| to_chain(reply.chain).blocks().contains(block))
                .is_some_and(|(at, reply)| valid(at, reply))
        };
        chain.blocks().iter().rposition(is_cached).map_or(0, |at| at + 1)
    }

    /// Offers as (candidate, expected cached blocks).
    fn offers(&self) -> Vec<(usize, f64)> {
        let chain = to_chain(self.chain);
        let count = self.candidates.len() as f64;
        let mut set: Vec<usize> = (0..self.candidates.len()).collect();
        let mut offers: Vec<(usize, f64)> = Vec::new();
        let mut outer_blocks = 0.0;
        for (depth, level) in chain.levels().iter().enumerate() {
            let rank = |index: &usize| {
                let candidate = &self.candidates[*index];
                let uniform =
                    ((placement::score(level.hash, candidate.endpoint) >> 11) as f64 + 0.5) / (1u64 << 53) as f64;
                candidate.weight / -uniform.ln()
            };
            set.sort_by(|one, other| rank(other).total_cmp(&rank(one)));
            let load = self.share(level.hash) * count;
            let width = load.max(if depth == 0 { count / 2.0 } else { 1.0 }).ceil() as usize;
            offers.extend(set.iter().skip(width).take(1).map(|index| (*index, outer_blocks)));
            let own = level.blocks as f64 - outer_blocks;
            offers
                .iter_mut()
                .for_each(|offer| offer.1 += own * 0.95 * load / (load + 0.3));
            set.truncate(width);
            outer_blocks = level.blocks as f64;
        }
        offers.extend(set.iter().map(|index| (*index, outer_blocks)));
        let learnt = |index: usize| (index, self.learnt(&chain, &self.candidates[index]) as f64);
        offers.extend((0..self.candidates.len()).map(learnt).filter(|offer| offer.1 > 0.0));
        let drawn = [self.draw & 0xffff_ffff, self.draw >> 32].map(|half| (half * self.candidates.len() as u64) >> 32);
        offers.extend(drawn.map(|index| (index as usize, 0.0)));
        let open: Vec<usize> = (0..self.candidates.len())
            .filter(|index| self.candidates[*index].has_room())
            .collect();
        offers.retain(|offer| open.contains(&offer.0));
        if offers.is_empty() {
            offers.extend(open.iter().map(|index| (*index, 0.0)));
        }
        offers
    }

    fn cost(&self, (index, cached): (usize, f64)) -> f64 {
        let candidate = &self.candidates[index];
        let queued: u64 = self.candidates.iter().map(|candidate| candidate.queued).sum();
        let mean = queued as f64 / 20_000.0 / self.candidates.len() as f64;
        let work = candidate.queued as f64 + (13.0 - cached) * 1024.0 * (3.0 + 4.0 * mean);
        work / 20_000.0 / candidate.speed + if candidate.same_domain { 0.0 } else { 0.003 }
    }
}

#[expect(clippy::needless_pass_by_value, reason = "quickcheck passes values")]
fn agrees(scenario: Scenario) -> bool {
    let choice = scenario.placer().choose(
        &to_chain(scenario.chain),
        &scenario.candidates,
        secs(scenario.now()),
        scenario.draw,
    );
    let offers = scenario.offers();
    let best = offers.iter().map(|offer| scenario.cost(*offer)).min_by(f64::total_cmp);
    let Choice::At(pick) = choice else {
        return best.is_none();
    };
    let Some(best) = best else { return false };
    let near = |offer: &&(usize, f64)| offer.0 == pick.index && offer.1 as usize == pick.cached;
    offers
        .iter()
        .filter(near)
        .any(|offer| (scenario.cost(*offer) - best).abs() < 1e-6)
}

#[test]
fn choices_match_naive_placer() {
    seeded().tests(3000).quickcheck(agrees as fn(Scenario) -> bool);
}

#[test]
fn choices_do_not_affect_later_ones() {
    #[expect(clippy::needless_pass_by_value, reason = "quickcheck passes values")]
    fn unchanged(scenario: Scenario) -> bool {
        let mut placer = scenario.placer();
        let now = Duration::from_secs_f64(scenario.now());
        let chain = to_chain(scenario.chain);
        let first = placer.choose(&chain, &scenario.candidates, now, scenario.draw);
        placer.choose(&to_chain([1, 2, 2, 7]), &scenario.candidates, now, !scenario.draw);
        placer.choose(&chain, &scenario.candidates, now, scenario.draw) == first
    }
    seeded().tests(300).quickcheck(unchanged as fn(Scenario) -> bool);
}
