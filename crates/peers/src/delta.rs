//! Which part of a state a connection still has to carry.
//!
//! Both ends live as long as their connection. Any failed call ends it, so that what was sent was also received.

use crate::{About, Beat, LoadReport, PublishedState, Summary};
use ids::EndpointId;
use quick_error::quick_error;
use std::collections::{HashMap, HashSet};

/// Most endpoints on one connection; a peer that names more is broken.
const MAX_ENDPOINTS: usize = 10_000;

/// How much a heartbeat carries.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Extent {
    /// All changes.
    Whole,
    /// Changes that can't wait: of the summary, of lives, of leaving endpoints.
    Urgent,
}

/// What was sent on a connection.
#[derive(Debug, Default)]
pub struct Sent {
    summary: Option<Summary>,
    reports: HashMap<EndpointId, (u32, LoadReport)>,
    next: u32,
}

impl Sent {
    /// The heartbeat that brings the other end up to date.
    pub fn beat(&mut self, state: &PublishedState, extent: Extent) -> Beat {
        let mut beat = Beat {
            summary: self.summary(state),
            ..Beat::default()
        };
        for report in &state.loads {
            self.add(report, extent, &mut beat);
        }
        beat.loads.sort_unstable();
        if extent == Extent::Whole {
            beat.gone = self.gone(state);
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
        let known = self.reports.get(&report.endpoint);
        let same = known.is_some_and(|(_, sent)| sent.rare() == report.rare());
        let load = known.is_some_and(|(_, sent)| sent.load() == report.load());
        if same && (load || extent == Extent::Urgent) {
            return;
        }
        let number = known.map_or(self.next, |(number, _)| *number);
        self.next = self.next.max(number + 1);
        if !same {
            beat.about.push(report.about(number));
        }
        let (running, waiting, prefill) = report.load();
        beat.loads.push((number, running, waiting, prefill));
        self.reports.insert(report.endpoint.clone(), (number, report.clone()));
    }

    fn gone(&mut self, state: &PublishedState) -> Vec<u32> {
        let kept: HashSet<&EndpointId> = state.loads.iter().map(|report| &report.endpoint).collect();
        let mut gone = Vec::new();
        self.reports.retain(|endpoint, (number, _)| {
            let keep = kept.contains(endpoint);
            if !keep {
                gone.push(*number);
            }
            keep
        });
        gone
    }
}

impl LoadReport {
    fn rare(&self) -> (u64, Option<&str>, bool) {
        (
            self.incarnation.0,
            self.weights.as_ref().map(ids::WeightsVersion::as_str),
            self.draining,
        )
    }

    fn load(&self) -> (u32, u32, u32) {
        (self.running, self.waiting, self.prefill)
    }

    fn about(&self, number: u32) -> About {
        About {
            number,
            endpoint: self.endpoint.clone(),
            incarnation: self.incarnation,
            weights: self.weights.clone(),
            draining: self.draining,
        }
    }
}

quick_error! {
    /// A heartbeat that can't be understood; its connection is ended.
    #[derive(Debug, Clone, Copy, PartialEq, Eq)]
    pub enum Malformed {
        /// The first heartbeat has no summary.
        NoSummary {
            display("the first heartbeat has no summary")
        }
        /// A number that was never introduced.
        Number(number: u32) {
            display("endpoint number {number} was never introduced")
        }
        /// More endpoints than any router watches.
        TooMany {
            display("more than {} endpoints", MAX_ENDPOINTS)
        }
    }
}

/// What was received on a connection.
#[derive(Debug, Default)]
pub struct Received {
    summary: Option<Summary>,
    reports: HashMap<u32, LoadReport>,
}

/// What a heartbeat says, put together with those before it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct News {
    /// The sender's state.
    pub summary: Summary,
    /// Reports that have changed.
    pub reports: Vec<LoadReport>,
    /// Endpoints that are no longer reported.
    pub gone: Vec<EndpointId>,
}

impl Received {
    /// Takes a heartbeat.
    ///
    /// # Errors
    /// It doesn't follow from those before it.
    pub fn take(&mut self, beat: Beat) -> Result<News, Malformed> {
        self.summary = beat.summary.or(self.summary.take());
        let summary = self.summary.clone().ok_or(Malformed::NoSummary)?;
        for about in beat.about {
            self.introduce(about)?;
        }
        let mut reports = Vec::new();
        for (number, running, waiting, prefill) in beat.loads {
            let report = self.reports.get_mut(&number).ok_or(Malformed::Number(number))?;
            (report.running, report.waiting, report.prefill) = (running, waiting, prefill);
            reports.push(report.clone());
        }
        let gone = beat
            .gone
            .iter()
            .filter_map(|number| Some(self.reports.remove(number)?.endpoint));
        Ok(News {
            summary,
            reports,
            gone: gone.collect(),
        })
    }

    fn introduce(&mut self, about: About) -> Result<(), Malformed> {
        if self.reports.len() >= MAX_ENDPOINTS {
            return Err(Malformed::TooMany);
        }
        let report = LoadReport {
            endpoint: about.endpoint,
            incarnation: about.incarnation,
            weights: about.weights,
            draining: about.draining,
            running: 0,
            waiting: 0,
            prefill: 0,
        };
        self.reports.insert(about.number, report);
        Ok(())
    }
}
