//! Endpoints worth a look for one request.

use super::{Candidate, Reason};

/// An endpoint with what is expected of its cache.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Offer {
    /// Its place among the candidates.
    pub index: usize,
    /// Blocks expected in its cache.
    pub cached: f64,
    /// Why it is offered.
    pub reason: Reason,
}

impl Offer {
    /// An offer of `cached` blocks at the candidate `index`.
    pub fn new(index: usize, cached: f64, reason: Reason) -> Self {
        Self { index, cached, reason }
    }
}

/// The offers for one request; only endpoints with room are taken in. Kept between choices for its memory.
#[derive(Debug, Clone, Default)]
pub struct Offers(Vec<Offer>);

impl Offers {
    /// Starts a new choice.
    pub fn clear(&mut self) {
        self.0.clear();
    }

    /// All offers.
    pub fn all(&self) -> &[Offer] {
        &self.0
    }

    /// Room kept between choices.
    pub fn capacity(&self) -> usize {
        self.0.capacity()
    }

    /// Takes in an offer.
    pub fn add(&mut self, candidates: &[Candidate], offer: Offer) {
        if candidates[offer.index].has_room() {
            self.0.push(offer);
        }
    }

    /// Expects `blocks` more in the cache of each offer so far.
    pub fn expect_more(&mut self, blocks: f64) {
        for offer in &mut self.0 {
            offer.cached += blocks;
        }
    }

    /// Offers two endpoints drawn at random. Every router sees the same endpoint idle in a lagging report; were it always
    /// offered, all would send their next request there. Of two drawn ones the better is nearly as good (Mitzenmacher
    /// 2001), and no two routers draw alike.
    pub fn add_drawn(&mut self, candidates: &[Candidate], draw: u64) {
        for half in [draw & u64::from(u32::MAX), draw >> u32::BITS] {
            let index = ((half * candidates.len() as u64) >> u32::BITS) as usize;
            if index < candidates.len() {
                self.add(candidates, Offer::new(index, 0.0, Reason::Drawn));
            }
        }
    }

    /// Offers all endpoints with room: used when those preferred have none.
    pub fn add_open(&mut self, candidates: &[Candidate]) {
        for index in 0..candidates.len() {
            self.add(candidates, Offer::new(index, 0.0, Reason::Drawn));
        }
    }
}
