//! Which requests are kept from endpoints because others have ended under them.

use dispatch::quarantine::{ContentKey, EndedRun, Fate, Probe, ProcessKey, Quarantine, fate};
use ids::Incarnation;
use std::time::Duration;

const CONTENT: ContentKey = ContentKey(7);

fn at(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn run(process: u64, ended: u64) -> EndedRun {
    EndedRun {
        content: CONTENT,
        process: ProcessKey(process),
        ended: at(ended),
    }
}

/// Many requests run at an endpoint that ends, and some of them again at the next one. Only one under which endpoints end again
/// and again is the cause.
#[test]
fn a_request_is_quarantined_after_several_ends() {
    struct Case {
        name: &'static str,
        runs: Vec<EndedRun>,
        answered: Option<u64>,
        now: u64,
        remaining: Option<u64>,
    }
    let case = |name, runs: &[EndedRun], answered, now, remaining| Case {
        name,
        runs: runs.to_vec(),
        answered,
        now,
        remaining,
    };
    let three = [run(1, 50), run(2, 100), run(3, 150)];
    let late = [run(1, 70_050), run(2, 70_100), run(3, 70_150)];
    let five = [run(1, 50), run(2, 100), run(3, 150), run(4, 170), run(5, 190)];
    let cases = [
        case("two ends", &three[..2], None, 150, None),
        case("three ends", &three, None, 150, Some(20_000)),
        case("four ends", &five[..4], None, 170, Some(40_000)),
        case("five ends", &five, None, 190, Some(80_000)),
        case(
            "the same process twice",
            &[three[0], three[1], run(2, 150)],
            None,
            150,
            None,
        ),
        case("the quarantine is over", &three, None, 20_150, None),
        case("answered shortly before", &three, Some(0), 150, None),
        case("answered long before", &late, Some(0), 70_150, Some(20_000)),
    ];
    for case in cases {
        let mut quarantine = Quarantine::default();
        if let Some(answered) = case.answered {
            quarantine.record_answer(CONTENT, at(answered));
        }
        for run in &case.runs {
            quarantine.merge(&[*run], run.ended);
        }
        let remaining = quarantine.remaining(CONTENT, at(case.now));
        assert_eq!(remaining, case.remaining.map(at), "{}", case.name);
    }
}

/// A request that an endpoint has answered since is not the cause, whatever ended before.
#[test]
fn an_answer_ends_the_quarantine() {
    let mut quarantine = Quarantine::default();
    assert_eq!(quarantine.merge(&[run(1, 50)], at(60)), [CONTENT]);
    assert!(!quarantine.is_recurrent(CONTENT));
    assert_eq!(quarantine.merge(&[run(1, 50), run(2, 60)], at(60)), [CONTENT]);
    assert!(quarantine.is_recurrent(CONTENT));
    assert_eq!(quarantine.remaining(CONTENT, at(60)), None);
    assert_eq!(quarantine.merge(&[run(3, 100)], at(100)), [CONTENT]);
    assert_eq!(quarantine.merge(&[run(3, 100)], at(101)), [], "nothing new");
    assert_eq!(quarantine.repeated(at(101)).len(), 3);
    quarantine.record_answer(CONTENT, at(150));
    assert_eq!(quarantine.repeated(at(150)), []);
    assert_eq!(quarantine.remaining(CONTENT, at(151)), None);
    assert_eq!(quarantine.count(at(151)), 0);
}

/// One client that ends many endpoints with requests of different content must not fill the memory, nor release the requests
/// that ended more than one.
#[test]
fn the_number_of_suspects_is_bounded() {
    let mut quarantine = Quarantine::default();
    quarantine.merge(&[run(1, 50), run(2, 100), run(3, 110)], at(110));
    for number in 0..6_000 {
        let other = EndedRun {
            content: ContentKey(1_000 + number),
            ..run(4, 150)
        };
        quarantine.merge(&[other], at(150));
    }
    assert!(quarantine.remaining(CONTENT, at(150)).is_some());
    let kept = (0..6_000).filter(|number| quarantine.is_suspect(ContentKey(1_000 + number)));
    assert!(kept.count() <= 4_097);
}

/// A broken connection alone, as after a cut of the network, doesn't show that the process has ended.
#[test]
fn the_fate_of_an_endpoint_is_judged_by_a_probe() {
    struct Case {
        probe: Probe,
        unreachable: usize,
        fate: Fate,
    }
    let case = |probe, unreachable, fate| Case {
        probe,
        unreachable,
        fate,
    };
    let cases = [
        case(Probe::Refused, 0, Fate::Ended),
        case(Probe::Refused, 3, Fate::Unknown),
        case(Probe::Silent, 0, Fate::Unknown),
        case(Probe::OtherEndpoint, 0, Fate::Ended),
        case(Probe::Answered(Some(Incarnation(5))), 0, Fate::Alive),
        case(Probe::Answered(Some(Incarnation(6))), 0, Fate::Ended),
        case(Probe::Answered(None), 0, Fate::Alive),
    ];
    for case in cases {
        assert_eq!(
            fate(case.probe, Incarnation(5), case.unreachable),
            case.fate,
            "{:?}",
            case.probe
        );
    }
    // The entry of such an endpoint names no start.
    assert_eq!(
        fate(Probe::Answered(Some(Incarnation(6))), Incarnation(0), 0),
        Fate::Alive
    );
}

/// Sessions that share all parts of their prompts but the last are different requests.
#[test]
fn content_keys_tell_requests_apart() {
    let key = ContentKey::of(&[b"POST", b"/x/", b"body"]);
    assert_eq!(key, ContentKey::of(&[b"POST", b"/x/", b"body"]));
    for other in [
        ContentKey::of(&[b"POST", b"/x/", b"bodz"]),
        ContentKey::of(&[b"POST", b"/x/b", b"ody"]),
        ContentKey::of(&[b"POST", b"/x/", b"body", b""]),
        ContentKey::of(&[b"/x/", b"POST", b"body"]),
    ] {
        assert_ne!(key, other);
    }
}
