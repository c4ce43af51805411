//! Reads the document, and checks whether the store is known to hold the newest one.

use super::orders::write_as_holder;
use super::{Control, ERA_KEY};
use async_std::task;
use dispatch::era_check::EraView;
use dispatch::freshness::Confirmation;
use dispatch::site::Site;
use ids::Revision;
use std::sync::Arc;
use std::time::Duration;
use store::items::{CommitOutcome, Item};

/// Time after which a record of the verified era that has not appeared in the store is written again.
const RECORD_RETRY: Duration = Duration::from_secs(3);

impl Control {
    /// Era of the last read of the store; 0 before the first read.
    pub(super) fn era(&self) -> u64 {
        self.shared.relay.position().map_or(0, |position| position.era)
    }

    /// Records that the contents were current at this time, for followers and for requests.
    pub(super) fn confirm_freshness(&mut self, confirmed: Option<Confirmation>, era: u64, now: Duration) {
        if let Some(confirmed) = confirmed {
            self.roster.list_complete(confirmed.at());
        }
        *self.shared.uptime() = *self.roster.uptime();
        let confirmed = confirmed.and_then(|confirmed| self.verify_era(confirmed, era, now));
        if let Some(at) = confirmed {
            // A store that was restored from a backup may lack versions until its era is verified.
            self.shared.software().copy_complete(at);
        }
        if let Some(confirmed) = confirmed.filter(|_| self.document_is_current()) {
            self.shared.freshness().confirm(confirmed, era);
        }
    }

    /// The time up to which the contents are complete; none if the store may lack documents that a restore lost.
    fn verify_era(&mut self, confirmed: Confirmation, era: u64, now: Duration) -> Option<Duration> {
        let before = self.era_check.verified();
        let at = match confirmed {
            Confirmation::Router(at) => {
                self.era_check.verify(era);
                Some(at)
            }
            Confirmation::Store(sent) => {
                let view = EraView {
                    era,
                    document: self.document_written,
                    recorded: self.recorded_era,
                };
                self.era_check.is_verified(view, sent, now).then_some(sent)
            }
        };
        let after = self.era_check.verified();
        if before != after {
            log::info!(era = era, recorded = self.recorded_era.unwrap_or_default(); "configuration: era verified");
        }
        at
    }

    /// Whether the document in the store is at least as new as any known document. A store that was restored from a
    /// backup lacks documents written after the backup, so its responses do not confirm that the document in force is
    /// current.
    fn document_is_current(&self) -> bool {
        let known = self.peer_revision.max(Some(self.shared.revision()));
        self.stored_revision.is_some() && self.stored_revision >= known
    }

    /// Handles the response of other routers to the question which document they have in force. `sent` is when the call
    /// that read the store was sent.
    pub(super) fn read_peer_document(&mut self, newest: Option<Revision>, sent: Duration, now: Duration) {
        self.peer_revision = self.peer_revision.max(newest);
        if !self.document_is_current() {
            log::warn!(
                shown = self.stored_revision.unwrap_or_default().0,
                newest = newest.unwrap_or_default().0;
                "configuration: another router has a newer revision than the store"
            );
        }
        self.confirm_freshness(Some(Confirmation::Store(sent)), self.era(), now);
    }

    pub(super) fn read_recorded_era(&mut self, item: &Item) {
        let era = String::from_utf8_lossy(&item.value).parse();
        if let Err(err) = &era {
            log::error!(why:% = err; "store: cannot parse the recorded era");
        }
        // An unreadable record must not look like a first start, which needs no verification.
        self.recorded_era = Some(era.unwrap_or_default());
    }

    pub(super) fn read_document(&mut self, item: &Item) {
        self.document_written = Some(item.revision);
        let read = (self.shared.dialect.parse_document)(&item.value);
        let old = self.shared.revision();
        self.stored_revision = read.as_ref().ok().map(|parts| parts.revision);
        let parts = match read {
            Ok(parts) => parts,
            Err(err) => {
                log::error!(why:% = err; "configuration: cannot parse the document, keeping the previous revision");
                return;
            }
        };
        let is_first = self.shared.site.load().is_none();
        if !is_first && parts.revision <= old {
            if !self.document_is_current() {
                log::warn!(
                    revision = parts.revision.0,
                    in_force = old.0;
                    "configuration: the store holds an older revision"
                );
            }
            return;
        }
        log::info!(
            revision = parts.revision.0,
            before = old.0,
            routes = parts.routes.len(),
            bytes = item.value.len();
            "configuration: in force"
        );
        self.shared.metrics.revision.set(parts.revision.0 as i64);
        let site = Arc::new(Site::new(parts));
        self.shared.quotas().configure(site.quotas(), self.shared.clock.now());
        self.shared.site.store(Some(site));
    }

    /// Records the verified era in the store, once per era, for routers that start later.
    pub(super) fn record_era(&mut self, now: Duration) {
        let Some(fence) = self.lock_holder().may_order(now) else {
            return;
        };
        let era = self.era();
        let is_due = self.era_record_sent.is_none_or(|sent| now >= sent + RECORD_RETRY);
        let is_recorded = era == 0 || self.recorded_era == Some(era);
        if is_recorded || !is_due || self.era_check.verified() != Some(era) || !self.document_is_current() {
            return;
        }
        self.era_record_sent = Some(now);
        let shared = self.shared.clone();
        task::spawn(async move {
            let committed = write_as_holder(&shared, fence, ERA_KEY, era.to_string().into_bytes()).await;
            shared.metrics.count_store_call("era", committed.is_ok());
            match committed {
                Ok(CommitOutcome::Done(_)) => log::info!(era = era; "store: verified era recorded"),
                Ok(outcome) => log::warn!(era = era, outcome:? = outcome; "store: verified era not recorded"),
                Err(err) => log::warn!(era = era, why:% = err; "store: cannot record the verified era"),
            }
        });
    }
}
