//! Delta encoding of a router's state on one connection.
//!
//! The encoder and the decoder exist as long as their connection. Any failed call closes the connection, so everything
//! that was sent before the current call was also received.

use crate::{Beat, EndpointInfo, LoadReport, PublishedState, Summary};
use ids::EndpointId;
use quick_error::quick_error;
use std::collections::{HashMap, HashSet};

/// Maximum number of endpoints on one connection. A peer that sends more is faulty.
const MAX_ENDPOINTS: usize = 10_000;

/// Which changes a heartbeat carries.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Extent {
    /// All changes.
    Full,
    /// Only changes that cannot wait: the summary, incarnations, weights and draining endpoints.
    Urgent,
}

/// Encodes states as heartbeats that carry only what was not sent before on the connection.
#[derive(Debug, Default)]
pub struct DeltaEncoder {
    summary: Option<Summary>,
    reports: HashMap<EndpointId, (u32, LoadReport)>,
    next_number: u32,
}

impl DeltaEncoder {
    /// Returns the heartbeat that brings the other end up to date.
    pub fn encode(&mut self, state: &PublishedState, extent: Extent) -> Beat {
        let mut beat = Beat {
            summary: self.summary(state),
            ..Beat::default()
        };
        for report in &state.loads {
            self.add(report, extent, &mut beat);
        }
        beat.loads.sort_unstable();
        if extent == Extent::Full {
            beat.removed = self.removed(state);
        }
        beat
    }

    fn summary(&mut self, state: &PublishedState) -> Option<Summary> {
        let summary = Summary {
            leaving: state.leaving,
            routers: state.routers,
            membership: state.membership,
            config: state.config.as_ref().map(|config| (config.revision, config.digest)),
        };
        if self.summary.as_ref() == Some(&summary) {
            return None;
        }
        self.summary = Some(summary.clone());
        Some(summary)
    }

    fn add(&mut self, report: &LoadReport, extent: Extent, beat: &mut Beat) {
        let previous = self.reports.get(&report.endpoint);
        let same_info = previous.is_some_and(|(_, sent)| sent.info_fields() == report.info_fields());
        let same_load = previous.is_some_and(|(_, sent)| sent.load() == report.load());
        if same_info && (same_load || extent == Extent::Urgent) {
            return;
        }
        let number = previous.map_or(self.next_number, |(number, _)| *number);
        self.next_number = self.next_number.max(number + 1);
        if !same_info {
            beat.endpoints.push(report.info(number));
        }
        let (running, waiting, prefill) = report.load();
        beat.loads.push((number, running, waiting, prefill));
        self.reports.insert(report.endpoint.clone(), (number, report.clone()));
    }

    fn removed(&mut self, state: &PublishedState) -> Vec<u32> {
        let current: HashSet<&EndpointId> = state.loads.iter().map(|report| &report.endpoint).collect();
        let mut removed = Vec::new();
        self.reports.retain(|endpoint, (number, _)| {
            let keep = current.contains(endpoint);
            if !keep {
                removed.push(*number);
            }
            keep
        });
        removed
    }
}

impl LoadReport {
    fn info_fields(&self) -> (u64, Option<&str>, bool) {
        (
            self.incarnation.0,
            self.weights.as_ref().map(ids::WeightsVersion::as_str),
            self.draining,
        )
    }

    fn load(&self) -> (u32, u32, u32) {
        (self.running, self.waiting, self.prefill)
    }

    fn info(&self, number: u32) -> EndpointInfo {
        EndpointInfo {
            number,
            endpoint: self.endpoint.clone(),
            incarnation: self.incarnation,
            weights: self.weights.clone(),
            draining: self.draining,
        }
    }
}

quick_error! {
    /// Why a heartbeat cannot be decoded. Its connection is closed.
    #[derive(Debug, Clone, Copy, PartialEq, Eq)]
    pub enum DecodeError {
        /// The first heartbeat has no summary.
        NoSummary {
            display("the first heartbeat has no summary")
        }
        /// An endpoint number without an earlier [`EndpointInfo`].
        UnknownNumber(number: u32) {
            display("unknown endpoint number {number}")
        }
        /// More endpoints than any router watches.
        TooMany {
            display("more than {} endpoints", MAX_ENDPOINTS)
        }
    }
}

/// Decodes the heartbeats of one connection.
#[derive(Debug, Default)]
pub struct DeltaDecoder {
    summary: Option<Summary>,
    reports: HashMap<u32, LoadReport>,
}

/// The changes of one heartbeat, combined with the state from earlier ones.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Update {
    /// The sender's state.
    pub summary: Summary,
    /// Changed reports.
    pub reports: Vec<LoadReport>,
    /// Endpoints that are no longer reported.
    pub removed: Vec<EndpointId>,
}

impl DeltaDecoder {
    /// Decodes the next heartbeat.
    ///
    /// # Errors
    /// The heartbeat is inconsistent with the earlier ones.
    pub fn decode(&mut self, beat: Beat) -> Result<Update, DecodeError> {
        self.summary = beat.summary.or(self.summary.take());
        let summary = self.summary.clone().ok_or(DecodeError::NoSummary)?;
        for info in beat.endpoints {
            self.insert(info)?;
        }
        let mut reports = Vec::new();
        for (number, running, waiting, prefill) in beat.loads {
            let report = self
                .reports
                .get_mut(&number)
                .ok_or(DecodeError::UnknownNumber(number))?;
            (report.running, report.waiting, report.prefill) = (running, waiting, prefill);
            reports.push(report.clone());
        }
        let removed = beat
            .removed
            .iter()
            .filter_map(|number| Some(self.reports.remove(number)?.endpoint));
        Ok(Update {
            summary,
            reports,
            removed: removed.collect(),
        })
    }

    fn insert(&mut self, info: EndpointInfo) -> Result<(), DecodeError> {
        if self.reports.len() >= MAX_ENDPOINTS {
            return Err(DecodeError::TooMany);
        }
        let report = LoadReport {
            endpoint: info.endpoint,
            incarnation: info.incarnation,
            weights: info.weights,
            draining: info.draining,
            running: 0,
            waiting: 0,
            prefill: 0,
        };
        self.reports.insert(info.number, report);
        Ok(())
    }
}
