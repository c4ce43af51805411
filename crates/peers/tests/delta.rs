//! Delta encoding of heartbeats: the decoder ends up with the sender's state.

use ids::{EndpointId, Incarnation, WeightsVersion};
use peers::{Beat, DecodeError, DeltaDecoder, DeltaEncoder, EndpointInfo, Extent, LoadReport, PublishedState};
use quickcheck::{Gen, QuickCheck};
use std::collections::BTreeMap;

/// Fixed seed: each run tries the same cases and gives the same result.
const SEED: u64 = 2;

fn seeded() -> QuickCheck {
    QuickCheck::new().rng(Gen::from_size_and_seed(100, SEED))
}

/// One state of the sender: for each endpoint its incarnation, weights, draining flag and load, or `None`.
type State = Vec<Option<(u8, u8, bool, u8)>>;

fn published(state: &State) -> PublishedState {
    let reports = state.iter().enumerate().filter_map(|(place, report)| {
        let (incarnation, weights, draining, load) = (*report)?;
        Some(LoadReport {
            endpoint: EndpointId::from(format!("engine-{place:04}")),
            incarnation: Incarnation(u64::from(incarnation % 3)),
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

/// Converts to JSON and back, as a connection does.
fn through_json(beat: &Beat) -> Beat {
    serde_json::from_str(&serde_json::to_string(beat).unwrap()).unwrap()
}

/// A wrong delta leaves the receiver with loads that the sender no longer reports. Compares the decoded state with the
/// sender's full state after each heartbeat.
#[test]
fn decoded_state_matches_the_sender() {
    #[expect(clippy::needless_pass_by_value, reason = "quickcheck passes values")]
    fn matches_sender(states: Vec<State>) -> bool {
        let (mut sent, mut received) = (DeltaEncoder::default(), DeltaDecoder::default());
        let mut decoded: BTreeMap<EndpointId, LoadReport> = BTreeMap::new();
        states.iter().all(|state| {
            let state = published(state);
            let update = received
                .decode(through_json(&sent.encode(&state, Extent::Full)))
                .unwrap();
            decoded.extend(
                update
                    .reports
                    .into_iter()
                    .map(|report| (report.endpoint.clone(), report)),
            );
            decoded.retain(|endpoint, _| !update.removed.contains(endpoint));
            update.summary.routers == state.routers && decoded.values().eq(state.loads.iter())
        })
    }
    seeded().quickcheck(matches_sender as fn(Vec<State>) -> bool);
}

/// An urgent heartbeat carries changed incarnations and draining endpoints. If it marked other changes as sent, the
/// next full heartbeat would leave them out.
#[test]
fn urgent_heartbeats_lose_no_change() {
    #[expect(clippy::needless_pass_by_value, reason = "quickcheck passes values")]
    fn matches_sender(states: Vec<(bool, State)>) -> bool {
        let (mut sent, mut received) = (DeltaEncoder::default(), DeltaDecoder::default());
        let mut decoded: BTreeMap<EndpointId, LoadReport> = BTreeMap::new();
        states.iter().all(|(urgent, state)| {
            let state = published(state);
            let extent = if *urgent { Extent::Urgent } else { Extent::Full };
            let update = received.decode(through_json(&sent.encode(&state, extent))).unwrap();
            decoded.extend(
                update
                    .reports
                    .into_iter()
                    .map(|report| (report.endpoint.clone(), report)),
            );
            decoded.retain(|endpoint, _| !update.removed.contains(endpoint));
            let is_current = |report: &LoadReport| {
                decoded.get(&report.endpoint).is_some_and(|decoded| {
                    (decoded.incarnation, decoded.draining) == (report.incarnation, report.draining)
                })
            };
            state.loads.iter().all(is_current) && (*urgent || decoded.values().eq(state.loads.iter()))
        })
    }
    seeded().quickcheck(matches_sender as fn(Vec<(bool, State)>) -> bool);
}

/// A faulty peer sends heartbeats that cannot be decoded. They are rejected, so that they neither change the state nor
/// grow it without limit.
#[test]
fn malformed_heartbeats_are_rejected() {
    let first = || DeltaEncoder::default().encode(&published(&vec![Some((1, 1, false, 3))]), Extent::Full);
    let info = |number| EndpointInfo {
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
            DecodeError::NoSummary,
        ),
        (
            Beat {
                loads: vec![(7, 0, 0, 0)],
                ..first()
            },
            DecodeError::UnknownNumber(7),
        ),
        (
            Beat {
                endpoints: (0..20_000).map(info).collect(),
                ..first()
            },
            DecodeError::TooMany,
        ),
    ];
    for (beat, expected) in cases {
        assert_eq!(DeltaDecoder::default().decode(beat), Err(expected));
    }
    assert!(
        serde_json::from_str::<Beat>(r#"{"l":[1,2,3]}"#).is_err(),
        "a truncated load"
    );
}
