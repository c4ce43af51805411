//! Fetches newer configurations from peers.

use super::event::{AssembledConfig, Event};
use super::state::Control;
use crate::shared::Shared;
use async_std::task;
use config::Head;
use control::membership::Member;
use ids::{Digest, Revision, VmId};
use peers::{Fetcher, PeerError};
use std::collections::BTreeMap;

impl Control {
    /// A peer offers a newer configuration. It is fetched from there, so that a router that is partitioned from the
    /// platform gets it too.
    pub(super) fn fetch_offer(&mut self, from: Member, revision: Revision, digest: Digest) {
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

    /// A fetch ended; the same revision may be fetched again if it failed.
    pub(super) fn fetch_ended(&mut self, peer: &VmId) {
        self.peering.fetching.retain(|(id, _)| id != peer);
    }

    fn known_texts(&self) -> BTreeMap<Digest, String> {
        let offered = self.peering.offered.as_ref();
        offered.map(|offered| offered.sections.clone()).unwrap_or_default()
    }
}

/// Fetches a peer's configuration, except for the sections that are known already.
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
) -> Result<Option<AssembledConfig>, PeerError> {
    let Some(head) = fetcher.head(from).await?.and_then(|text| Head::read(&text).ok()) else {
        return Ok(None);
    };
    let mut texts = BTreeMap::new();
    for (section, section_ref) in &head.sections {
        let text = match known.get(&section_ref.digest) {
            Some(text) => Some(text.clone()),
            None => fetcher.section(from, section_ref.digest).await?,
        };
        // The peer adopted a newer revision in the meantime, which it will offer too.
        let Some(text) = text else { return Ok(None) };
        texts.insert(*section, text);
    }
    Ok(AssembledConfig::assemble(head, texts).ok())
}
