//! Endpoints considered for one request.

use super::{Candidate, Reason};

/// An endpoint with the expected content of its cache.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Offer {
    /// Its index in the candidates.
    pub index: usize,
    /// Expected number of the prompt's blocks in its cache.
    pub cached: f64,
    /// Reason of the offer.
    pub reason: Reason,
}

impl Offer {
    /// Creates an offer of `cached` blocks at the candidate `index`.
    pub fn new(index: usize, cached: f64, reason: Reason) -> Self {
        Self { index, cached, reason }
    }
}

/// Offers for one request; only endpoints with room are added. Reused between choices to avoid allocations.
#[derive(Debug, Clone, Default)]
pub struct Offers(Vec<Offer>);

impl Offers {
    /// Removes all offers.
    pub fn clear(&mut self) {
        self.0.clear();
    }

    /// All offers.
    pub fn all(&self) -> &[Offer] {
        &self.0
    }

    /// Capacity of the reused buffer.
    pub fn capacity(&self) -> usize {
        self.0.capacity()
    }

    /// Adds an offer if its endpoint has room.
    pub fn add(&mut self, candidates: &[Candidate], offer: Offer) {
        if candidates[offer.index].has_room() {
            self.0.push(offer);
        }
    }

    /// Adds `blocks` to the expected cached blocks of each offer so far.
    pub fn add_expected(&mut self, blocks: f64) {
        for offer in &mut self.0 {
            offer.cached += blocks;
        }
    }

    /// Offers two endpoints drawn at random. Every router sees the same endpoint idle in a delayed report. If that
    /// endpoint were always offered, all routers would send their next request there. The better of two random ones is
    /// nearly as good (Mitzenmacher 2001), and routers draw independently.
    pub fn add_random(&mut self, candidates: &[Candidate], draw: u64) {
        for half in [draw & u64::from(u32::MAX), draw >> u32::BITS] {
            let index = ((half * candidates.len() as u64) >> u32::BITS) as usize;
            if index < candidates.len() {
                self.add(candidates, Offer::new(index, 0.0, Reason::Drawn));
            }
        }
    }

    /// Offers all endpoints with room. Used when none of the preferred ones has room.
    pub fn add_all(&mut self, candidates: &[Candidate]) {
        for index in 0..candidates.len() {
            self.add(candidates, Offer::new(index, 0.0, Reason::Drawn));
        }
    }
}
