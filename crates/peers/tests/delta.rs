//! What one end has sent, the other end has.

use ids::{EndpointId, Incarnation, WeightsVersion};
use peers::{About, Beat, Extent, LoadReport, Malformed, PublishedState, Received, Sent};
use quickcheck::{Gen, QuickCheck};
use std::collections::BTreeMap;

/// Each run tries the same cases, so that its verdict is the same.
const SEED: u64 = 2;

fn seeded() -> QuickCheck {
    QuickCheck::new().rng(Gen::from_size_and_seed(100, SEED))
}

/// One state of the sender: for each of a few endpoints its life, weights, leaving and load, or nothing.
type State = Vec<Option<(u8, u8, bool, u8)>>;

fn published(state: &State) -> PublishedState {
    let reports = state.iter().enumerate().filter_map(|(place, report)| {
        let (life, weights, draining, load) = (*report)?;
        Some(LoadReport {
            endpoint: EndpointId::from(format!("engine-{place:04}")),
            incarnation: Incarnation(u64::from(life % 3)),
            weights: (weights % 3 > 0).then(|| WeightsVersion::from(format!("{}", weights % 3))),
            draining,
            running: u32::from(load % 5),
            waiting: u32::from(load % 3),
            prefill: u32::from(load),
        })
    });
    PublishedState {
        routers: state.len() as u32,
        loads: reports.collect(),
        ..PublishedState::default()
    }
}

/// Sends as JSON, as a connection does.
fn carry(beat: &Beat) -> Beat {
    serde_json::from_str(&serde_json::to_string(beat).unwrap()).unwrap()
}

/// Against a naive version that sends the whole state each time.
#[test]
fn the_other_end_has_the_whole_state() {
    #[expect(clippy::needless_pass_by_value, reason = "quickcheck passes values")]
    fn holds(states: Vec<State>) -> bool {
        let (mut sent, mut received) = (Sent::default(), Received::default());
        let mut known: BTreeMap<EndpointId, LoadReport> = BTreeMap::new();
        states.iter().all(|state| {
            let state = published(state);
            let news = received.take(carry(&sent.beat(&state, Extent::Whole))).unwrap();
            known.extend(news.reports.into_iter().map(|report| (report.endpoint.clone(), report)));
            known.retain(|endpoint, _| !news.gone.contains(endpoint));
            news.summary.routers == state.routers && known.values().eq(state.loads.iter())
        })
    }
    seeded().quickcheck(holds as fn(Vec<State>) -> bool);
}

/// A message between the regular ones tells of lives and of leaving endpoints, and loses nothing of the rest.
#[test]
fn urgent_messages_lose_nothing() {
    #[expect(clippy::needless_pass_by_value, reason = "quickcheck passes values")]
    fn holds(states: Vec<(bool, State)>) -> bool {
        let (mut sent, mut received) = (Sent::default(), Received::default());
        let mut known: BTreeMap<EndpointId, LoadReport> = BTreeMap::new();
        states.iter().all(|(urgent, state)| {
            let state = published(state);
            let extent = if *urgent { Extent::Urgent } else { Extent::Whole };
            let news = received.take(carry(&sent.beat(&state, extent))).unwrap();
            known.extend(news.reports.into_iter().map(|report| (report.endpoint.clone(), report)));
            known.retain(|endpoint, _| !news.gone.contains(endpoint));
            let told = |report: &LoadReport| {
                known
                    .get(&report.endpoint)
                    .is_some_and(|known| (known.incarnation, known.draining) == (report.incarnation, report.draining))
            };
            state.loads.iter().all(told) && (*urgent || known.values().eq(state.loads.iter()))
        })
    }
    seeded().quickcheck(holds as fn(Vec<(bool, State)>) -> bool);
}

/// A peer with a fault sends what can't be understood. Its connection is ended; nothing is believed and nothing grows.
#[test]
fn malformed_heartbeats_are_refused() {
    let first = || Sent::default().beat(&published(&vec![Some((1, 1, false, 3))]), Extent::Whole);
    let about = |number| About {
        number,
        endpoint: EndpointId::from(format!("{number}")),
        incarnation: Incarnation(1),
        weights: None,
        draining: false,
    };
    let cases = [
        (
            Beat {
                summary: None,
                ..first()
            },
            Malformed::NoSummary,
        ),
        (
            Beat {
                loads: vec![(7, 0, 0, 0)],
                ..first()
            },
            Malformed::Number(7),
        ),
        (
            Beat {
                about: (0..20_000).map(about).collect(),
                ..first()
            },
            Malformed::TooMany,
        ),
    ];
    for (beat, expected) in cases {
        assert_eq!(Received::default().take(beat), Err(expected));
    }
    assert!(
        serde_json::from_str::<Beat>(r#"{"l":[1,2,3]}"#).is_err(),
        "a load cut short"
    );
}
