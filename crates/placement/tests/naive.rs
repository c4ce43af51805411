//! The placer against a naive one that keeps every reply, sorts everything and looks at everything.

mod support;

use ids::Incarnation;
use placement::{Candidate, Choice, EndpointKey, Placer, PrefixChain};
use quickcheck::{Arbitrary, Gen, QuickCheck};
use std::time::Duration;
use support::{chain, secs, spread};

/// Each run tries the same cases, so that its verdict is the same.
const SEED: u64 = 6;

fn seeded() -> QuickCheck {
    QuickCheck::new().rng(Gen::from_size_and_seed(100, SEED))
}

/// Endpoints that reply: the index remembers so many for one block, the naive placer all.
const HOLDERS: u64 = 4;
const KEEP: f64 = 5.0;
const FADE: f64 = 30.0;

/// A reply that the router saw.
#[derive(Debug, Clone)]
struct Reply {
    endpoint: EndpointKey,
    incarnation: u64,
    chain: [u64; 4],
    at: f64,
}

#[derive(Debug, Clone)]
struct World {
    candidates: Vec<Candidate>,
    replies: Vec<Reply>,
    doubt: Option<(usize, EndpointKey)>,
    chain: [u64; 4],
    draw: u64,
}

fn pick(gen_: &mut Gen, below: u64) -> u64 {
    u64::arbitrary(gen_) % below
}

fn some_chain(gen_: &mut Gen) -> [u64; 4] {
    [pick(gen_, 2), pick(gen_, 3), pick(gen_, 3), pick(gen_, 1000)]
}

impl Arbitrary for World {
    fn arbitrary(gen_: &mut Gen) -> Self {
        let count = pick(gen_, 9);
        let mut candidates = support::candidates(count);
        for candidate in &mut candidates {
            candidate.incarnation = Incarnation(1 + pick(gen_, 2));
            candidate.same_domain = bool::arbitrary(gen_);
            candidate.in_flight = pick(gen_, 10) as u32;
            candidate.queued = pick(gen_, 3) * pick(gen_, 40_000);
            candidate.speed = [1.0, 1.0, 0.25][pick(gen_, 3) as usize];
            candidate.weight = [1.0, 0.7, 1.3][pick(gen_, 3) as usize];
        }
        let mut at = 0.0;
        let replies = (0..pick(gen_, 12)).map(|_| {
            at += pick(gen_, 3000) as f64 / 1000.0;
            let endpoint = EndpointKey(spread(1 + pick(gen_, HOLDERS)));
            Reply {
                endpoint,
                incarnation: 1 + pick(gen_, 2),
                chain: some_chain(gen_),
                at,
            }
        });
        let replies: Vec<Reply> = replies.collect();
        let doubted = (
            pick(gen_, 13) as usize % (replies.len() + 1),
            EndpointKey(spread(1 + pick(gen_, HOLDERS))),
        );
        let doubt = bool::arbitrary(gen_).then_some(doubted);
        Self {
            candidates,
            replies,
            doubt,
            chain: some_chain(gen_),
            draw: u64::arbitrary(gen_),
        }
    }
}

fn built([scope, tenant, task, own]: [u64; 4]) -> PrefixChain {
    chain(scope, tenant, task, own)
}

impl World {
    fn now(&self) -> f64 {
        self.replies.last().map_or(0.0, |reply| reply.at) + 1.0
    }

    fn placer(&self) -> Placer {
        let mut placer = Placer::builder().entry_ttl(secs(KEEP)).decay_time(secs(FADE)).build();
        for (at, reply) in self.replies.iter().enumerate() {
            self.doubted(at)
                .into_iter()
                .for_each(|endpoint| placer.mark_uncertain(endpoint));
            placer.learn(
                reply.endpoint,
                Incarnation(reply.incarnation),
                &built(reply.chain),
                0,
                secs(reply.at),
            );
        }
        self.doubted(self.replies.len())
            .into_iter()
            .for_each(|endpoint| placer.mark_uncertain(endpoint));
        placer
    }

    fn doubted(&self, at: usize) -> Option<EndpointKey> {
        self.doubt.filter(|doubt| doubt.0 == at).map(|doubt| doubt.1)
    }

    fn share(&self, level: u64) -> f64 {
        let faded = |reply: &Reply| ((reply.at - self.now()) / FADE).exp();
        let has = |reply: &&Reply| built(reply.chain).levels().iter().any(|known| known.hash == level);
        let all: f64 = self.replies.iter().map(faded).sum();
        self.replies.iter().filter(has).map(faded).sum::<f64>() / (all + 5.0)
    }

    /// Blocks of the prompt that a reply showed at each candidate, and is still believed.
    fn learnt(&self, chain: &PrefixChain, candidate: &Candidate) -> usize {
        let valid = |at: usize, reply: &Reply| {
            let doubted = self
                .doubt
                .is_some_and(|doubt| doubt.1 == candidate.endpoint && at < doubt.0);
            let same = reply.endpoint == candidate.endpoint && reply.incarnation == candidate.incarnation.0;
            same && !doubted && self.now() - reply.at <= KEEP
        };
        let held = |block: &u64| {
            let latest = self.replies.iter().enumerate().rev();
            let mut latest = latest.filter(|(_, reply)| reply.endpoint == candidate.endpoint);
            latest
                .find(|(_, reply)| built(reply.chain).blocks().contains(block))
                .is_some_and(|(at, reply)| valid(at, reply))
        };
        chain.blocks().iter().rposition(held).map_or(0, |at| at + 1)
    }

    /// Expected blocks of each offer.
    fn offers(&self) -> Vec<(usize, f64)> {
        let chain = built(self.chain);
        let count = self.candidates.len() as f64;
        let mut set: Vec<usize> = (0..self.candidates.len()).collect();
        let mut offers: Vec<(usize, f64)> = Vec::new();
        let mut outer = 0.0;
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
            offers.extend(set.iter().skip(width).take(1).map(|index| (*index, outer)));
            let own = level.blocks as f64 - outer;
            offers
                .iter_mut()
                .for_each(|offer| offer.1 += own * 0.95 * load / (load + 0.3));
            set.truncate(width);
            outer = level.blocks as f64;
        }
        offers.extend(set.iter().map(|index| (*index, outer)));
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
fn agrees(world: World) -> bool {
    let choice = world
        .placer()
        .choose(&built(world.chain), &world.candidates, secs(world.now()), world.draw);
    let offers = world.offers();
    let best = offers.iter().map(|offer| world.cost(*offer)).min_by(f64::total_cmp);
    let Choice::At(pick) = choice else {
        return best.is_none();
    };
    let Some(best) = best else { return false };
    let near = |offer: &&(usize, f64)| offer.0 == pick.index && offer.1 as usize == pick.cached;
    offers
        .iter()
        .filter(near)
        .any(|offer| (world.cost(*offer) - best).abs() < 1e-6)
}

#[test]
fn the_choice_is_the_naive_one() {
    seeded().tests(3000).quickcheck(agrees as fn(World) -> bool);
}

#[test]
fn a_choice_changes_no_later_choice() {
    #[expect(clippy::needless_pass_by_value, reason = "quickcheck passes values")]
    fn same(world: World) -> bool {
        let mut placer = world.placer();
        let now = Duration::from_secs_f64(world.now());
        let chain = built(world.chain);
        let first = placer.choose(&chain, &world.candidates, now, world.draw);
        placer.choose(&built([1, 2, 2, 7]), &world.candidates, now, !world.draw);
        placer.choose(&chain, &world.candidates, now, world.draw) == first
    }
    seeded().tests(300).quickcheck(same as fn(World) -> bool);
}
