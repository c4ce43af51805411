//! Compares endpoint health with a reference model that keeps all events and recomputes the state from them each time.

use control::health::{EndpointHealth, Event, Failure, HealthState, Listing, Report};
use ids::{EndpointId, Incarnation};
use quickcheck::{Gen, QuickCheck};
use std::collections::BTreeMap;
use std::time::Duration;

/// Fixed, so that every run tests the same cases.
const SEED: u64 = 4;

fn seeded() -> QuickCheck {
    QuickCheck::new().rng(Gen::from_size_and_seed(100, SEED))
}

/// One event, generated from two arbitrary bytes.
#[derive(Debug, Clone, Copy)]
enum Observation {
    Listed(Option<Listing>),
    Report {
        incarnation: u64,
        draining: bool,
        own: bool,
        requested: u64,
    },
    Replied(Option<u64>),
    Failed(Failure),
}

fn id() -> EndpointId {
    EndpointId::from("engine")
}

fn observation(kind: u8, detail: u8, position: u64) -> Observation {
    let incarnation = u64::from(detail % 4);
    match kind % 8 {
        0 => Observation::Listed(match detail % 3 {
            0 => None,
            1 => Some(Listing::Live),
            _ => Some(Listing::Draining),
        }),
        1 | 2 => Observation::Report {
            incarnation,
            draining: detail & 16 > 0,
            own: detail & 32 > 0,
            requested: position.saturating_sub(u64::from(detail >> 6)),
        },
        3 | 4 => Observation::Replied((detail & 16 > 0).then_some(incarnation)),
        5 => Observation::Failed(Failure::Timeout),
        _ => Observation::Failed(Failure::Connection),
    }
}

fn event(observed: Observation) -> Event {
    match observed {
        Observation::Listed(listing) => Event::Listed(
            listing
                .map(|listing| (id(), listing))
                .into_iter()
                .collect::<BTreeMap<_, _>>(),
        ),
        Observation::Report {
            incarnation,
            draining,
            own,
            requested,
        } => Event::Report(Report {
            endpoint: id(),
            incarnation: Incarnation(incarnation),
            draining,
            own,
            at: Duration::from_millis(requested),
        }),
        Observation::Replied(incarnation) => Event::Replied {
            endpoint: id(),
            incarnation: incarnation.map(Incarnation),
        },
        Observation::Failed(failure) => Event::Failed {
            endpoint: id(),
            failure,
        },
    }
}

/// The incarnation that an event names.
fn incarnation(observed: Observation) -> Option<u64> {
    match observed {
        Observation::Report { incarnation, .. } => Some(incarnation),
        Observation::Replied(incarnation) => incarnation,
        _ => None,
    }
}

/// Events that count: all except those from an incarnation that had already ended.
fn counted(history: &[Observation]) -> Vec<(u64, Observation)> {
    let mut kept: Vec<(u64, Observation)> = Vec::new();
    for (position, now) in history.iter().enumerate() {
        let incarnations: Vec<u64> = kept.iter().filter_map(|(_, observed)| incarnation(*observed)).collect();
        let outdated =
            incarnation(*now).is_some_and(|new| incarnations.contains(&new) && incarnations.last() != Some(&new));
        if !outdated {
            kept.push((position as u64 + 1, *now));
        }
    }
    kept
}

fn reference_state(history: &[Observation]) -> HealthState {
    let kept = counted(history);
    let failures_before = |at: u64| {
        kept.iter()
            .rfind(|(position, observed)| *position < at && matches!(observed, Observation::Failed(_)))
    };
    let proves_health = |(position, observed): &(u64, Observation)| match observed {
        Observation::Replied(_) => true,
        Observation::Report {
            own: true, requested, ..
        } => failures_before(*position).is_none_or(|(failed, _)| requested > failed),
        _ => false,
    };
    let healthy_at = kept
        .iter()
        .rfind(|event| proves_health(event))
        .map_or(0, |(position, _)| *position);
    let since = |kind: Failure| {
        let failed = |(position, observed): &&(u64, Observation)| {
            *position > healthy_at && matches!(observed, Observation::Failed(failure) if *failure == kind)
        };
        kept.iter().filter(failed).count()
    };
    if since(Failure::Connection) >= 2 {
        return HealthState::Dead;
    }
    let lists: Vec<Option<Listing>> = kept
        .iter()
        .filter_map(|(_, observed)| {
            if let Observation::Listed(listing) = observed {
                Some(*listing)
            } else {
                None
            }
        })
        .collect();
    let listed_draining = match lists.last() {
        Some(Some(listing)) => *listing == Listing::Draining,
        Some(None) => lists.iter().any(Option::is_some),
        None => false,
    };
    if listed_draining || reports_draining(&kept) {
        return HealthState::Leaving;
    }
    if since(Failure::Connection) > 0 || since(Failure::Timeout) >= 2 {
        HealthState::Suspected
    } else {
        HealthState::Live
    }
}

/// Whether the endpoint last reported that it is draining, unless a reply came from a later incarnation.
fn reports_draining(kept: &[(u64, Observation)]) -> bool {
    let current = kept.iter().rev().find_map(|(_, observed)| incarnation(*observed));
    let start = kept
        .iter()
        .rev()
        .take_while(|(_, observed)| incarnation(*observed).is_none_or(|incarnation| Some(incarnation) == current))
        .last();
    let start = start.map_or(0, |(position, _)| *position);
    let reported =
        kept.iter()
            .rev()
            .filter(|(position, _)| *position >= start)
            .find_map(|(_, observed)| match observed {
                Observation::Report { draining, .. } => Some(*draining),
                _ => None,
            });
    reported.unwrap_or(false)
}

/// Guards against state that is kept or dropped wrongly between events, such as after a restart.
#[test]
fn health_state_matches_the_reference_model() {
    fn holds(bytes: Vec<(u8, u8)>) -> bool {
        let mut health = EndpointHealth::default();
        health.on(Event::Configured(vec![id()]), Duration::ZERO);
        let mut history = Vec::new();
        bytes.into_iter().enumerate().all(|(position, (kind, detail))| {
            let position = position as u64 + 1;
            let now = observation(kind, detail, position);
            history.push(now);
            health.on(event(now), Duration::from_millis(position));
            health.state(&id()) == reference_state(&history)
        })
    }
    seeded().quickcheck(holds as fn(Vec<(u8, u8)>) -> bool);
}
