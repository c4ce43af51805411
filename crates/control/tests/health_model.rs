//! Beliefs against a naive version that keeps every event and derives the belief from all of them, each time anew.

use control::health::{EndpointHealth, Event, Failure, HealthState, Listing, Report};
use ids::{EndpointId, Incarnation};
use quickcheck::{Gen, QuickCheck};
use std::collections::BTreeMap;
use std::time::Duration;

/// Each run tries the same cases, so that its verdict is the same.
const SEED: u64 = 4;

fn seeded() -> QuickCheck {
    QuickCheck::new().rng(Gen::from_size_and_seed(100, SEED))
}

/// What is known at one time, made from two arbitrary bytes.
#[derive(Debug, Clone, Copy)]
enum Seen {
    Listed(Option<Listing>),
    Report {
        life: u64,
        leaving: bool,
        own: bool,
        asked: u64,
    },
    Replied(Option<u64>),
    Failed(Failure),
}

fn id() -> EndpointId {
    EndpointId::from("engine")
}

fn seen(kind: u8, detail: u8, place: u64) -> Seen {
    let life = u64::from(detail % 4);
    match kind % 8 {
        0 => Seen::Listed(match detail % 3 {
            0 => None,
            1 => Some(Listing::Live),
            _ => Some(Listing::Leaving),
        }),
        1 | 2 => Seen::Report {
            life,
            leaving: detail & 16 > 0,
            own: detail & 32 > 0,
            asked: place.saturating_sub(u64::from(detail >> 6)),
        },
        3 | 4 => Seen::Replied((detail & 16 > 0).then_some(life)),
        5 => Seen::Failed(Failure::Timeout),
        _ => Seen::Failed(Failure::Connection),
    }
}

fn event(seen: Seen) -> Event {
    match seen {
        Seen::Listed(listing) => Event::Listed(
            listing
                .map(|listing| (id(), listing))
                .into_iter()
                .collect::<BTreeMap<_, _>>(),
        ),
        Seen::Report {
            life,
            leaving,
            own,
            asked,
        } => Event::Report(Report {
            endpoint: id(),
            incarnation: Incarnation(life),
            leaving,
            own,
            at: Duration::from_millis(asked),
        }),
        Seen::Replied(life) => Event::Replied {
            endpoint: id(),
            incarnation: life.map(Incarnation),
        },
        Seen::Failed(failure) => Event::Failed {
            endpoint: id(),
            failure,
        },
    }
}

/// The life that an event tells of.
fn life(seen: Seen) -> Option<u64> {
    match seen {
        Seen::Report { life, .. } => Some(life),
        Seen::Replied(life) => life,
        _ => None,
    }
}

/// Events that count: all but those of a life that was over before they came.
fn counted(history: &[Seen]) -> Vec<(u64, Seen)> {
    let mut kept: Vec<(u64, Seen)> = Vec::new();
    for (place, now) in history.iter().enumerate() {
        let lives: Vec<u64> = kept.iter().filter_map(|(_, seen)| life(*seen)).collect();
        let over = life(*now).is_some_and(|new| lives.contains(&new) && lives.last() != Some(&new));
        if !over {
            kept.push((place as u64 + 1, *now));
        }
    }
    kept
}

fn naive(history: &[Seen]) -> HealthState {
    let kept = counted(history);
    let failures_before = |at: u64| {
        kept.iter()
            .rfind(|(place, seen)| *place < at && matches!(seen, Seen::Failed(_)))
    };
    let proves_life = |(place, seen): &(u64, Seen)| match seen {
        Seen::Replied(_) => true,
        Seen::Report { own: true, asked, .. } => failures_before(*place).is_none_or(|(failed, _)| asked > failed),
        _ => false,
    };
    let well = kept
        .iter()
        .rfind(|event| proves_life(event))
        .map_or(0, |(place, _)| *place);
    let since = |wanted: Failure| {
        let failed =
            |(place, seen): &&(u64, Seen)| *place > well && matches!(seen, Seen::Failed(kind) if *kind == wanted);
        kept.iter().filter(failed).count()
    };
    if since(Failure::Connection) >= 2 {
        return HealthState::Dead;
    }
    let lists: Vec<Option<Listing>> = kept
        .iter()
        .filter_map(|(_, seen)| {
            if let Seen::Listed(listing) = seen {
                Some(*listing)
            } else {
                None
            }
        })
        .collect();
    let told_to_go = match lists.last() {
        Some(Some(listing)) => *listing == Listing::Leaving,
        Some(None) => lists.iter().any(Option::is_some),
        None => false,
    };
    if told_to_go || says_it_leaves(&kept) {
        return HealthState::Leaving;
    }
    if since(Failure::Connection) > 0 || since(Failure::Timeout) >= 2 {
        HealthState::Suspected
    } else {
        HealthState::Live
    }
}

/// The endpoint's own last word, unless a reply came from a later life.
fn says_it_leaves(kept: &[(u64, Seen)]) -> bool {
    let current = kept.iter().rev().find_map(|(_, seen)| life(*seen));
    let begun = kept
        .iter()
        .rev()
        .take_while(|(_, seen)| life(*seen).is_none_or(|life| Some(life) == current))
        .last();
    let begun = begun.map_or(0, |(place, _)| *place);
    let word = kept
        .iter()
        .rev()
        .filter(|(place, _)| *place >= begun)
        .find_map(|(_, seen)| match seen {
            Seen::Report { leaving, .. } => Some(*leaving),
            _ => None,
        });
    word.unwrap_or(false)
}

#[test]
fn beliefs_follow_from_all_that_was_seen() {
    fn holds(bytes: Vec<(u8, u8)>) -> bool {
        let mut health = EndpointHealth::default();
        health.on(Event::Configured(vec![id()]), Duration::ZERO);
        let mut history = Vec::new();
        bytes.into_iter().enumerate().all(|(place, (kind, detail))| {
            let place = place as u64 + 1;
            let now = seen(kind, detail, place);
            history.push(now);
            health.on(event(now), Duration::from_millis(place));
            health.state(&id()) == naive(&history)
        })
    }
    seeded().quickcheck(holds as fn(Vec<(u8, u8)>) -> bool);
}
