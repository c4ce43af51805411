//! Configurations that peers have and this router has not.

use super::event::{Configured, Event};
use super::state::Control;
use crate::shared::Shared;
use async_std::task;
use config::Head;
use control::membership::Member;
use ids::{Digest, Revision, VmId};
use peers::{Fetcher, PeerError};
use std::collections::BTreeMap;

impl Control {
    /// A peer has a newer configuration: it is read from there, so that a router that is cut from the platform has it
    /// as well.
    pub(super) fn offer(&mut self, from: Member, revision: Revision, digest: Digest) {
        if !matches!(self.revisions.check(revision, digest), config::Adopt::Newer) {
            return;
        }
        if !self.peering.fetching.insert((from.id.clone(), revision)) {
            return;
        }
        let known = self.known_texts();
        let fetcher = self.peering.peers.fetcher();
        let shared = self.shared.clone();
        task::spawn(async move { fetch(&shared, &fetcher, from, known).await });
    }

    /// A fetch has ended; the same revision may be asked for again if it failed.
    pub(super) fn fetched(&mut self, peer: &VmId) {
        self.peering.fetching.retain(|(id, _)| id != peer);
    }

    fn known_texts(&self) -> BTreeMap<Digest, String> {
        let offered = self.peering.offered.as_ref();
        offered.map(|offered| offered.sections.clone()).unwrap_or_default()
    }
}

/// Reads a peer's configuration, but for the sections that are known already.
async fn fetch(shared: &Shared, fetcher: &Fetcher, from: Member, known: BTreeMap<Digest, String>) {
    let event = match read(fetcher, &from, known).await {
        Ok(Some(configured)) => Event::PeerConfig(from.id, Box::new(configured)),
        Ok(None) | Err(_) => Event::PeerConfigFailed(from.id),
    };
    super::send(shared, event).await;
}

async fn read(
    fetcher: &Fetcher,
    from: &Member,
    known: BTreeMap<Digest, String>,
) -> Result<Option<Configured>, PeerError> {
    let Some(head) = fetcher.head(from).await?.and_then(|text| Head::read(&text).ok()) else {
        return Ok(None);
    };
    let mut texts = BTreeMap::new();
    for (section, named) in &head.sections {
        let text = match known.get(&named.digest) {
            Some(text) => Some(text.clone()),
            None => fetcher.section(from, named.digest).await?,
        };
        // The peer has gone on to a newer revision in between, and will offer that.
        let Some(text) = text else { return Ok(None) };
        texts.insert(*section, text);
    }
    Ok(Configured::assemble(head, texts).ok())
}
