//! Which endpoint a request goes to.

use dispatch::fleet::{Choice, Fleet, FleetSettings, LoadReport, NameAge, Outcome, Part, Prompt, Wish};
use dispatch::retries::RetryLimits;
use dispatch::site::EndpointEntry;
use ids::{DomainId, EndpointId, Incarnation, ModelId, ServiceId};
use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

const OLD: Duration = Duration::from_millis(7_500);

fn at(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn model() -> ModelId {
    ModelId::from("grain")
}

fn service() -> ServiceId {
    ServiceId::from("pool")
}

fn entry(id: &str, weights: u64) -> EndpointEntry {
    EndpointEntry {
        id: EndpointId::from(id),
        incarnation: Incarnation(1),
        service: service(),
        address: "127.0.0.1:1".parse().expect("an address"),
        domain: DomainId::from("here"),
        slots: 6,
        leaving: false,
        weights: vec![(model(), weights)],
    }
}

fn fleet(entries: &[EndpointEntry]) -> Fleet {
    let mut fleet = Fleet::new(FleetSettings {
        domain: DomainId::from("here"),
        retries: RetryLimits {
            ratio: 0.2,
            extra: 100,
            window: Duration::from_secs(10),
            routers: 0,
        },
        old_weights: OLD,
        last_weights: at(9_500),
    });
    for entry in entries {
        fleet.serves(&Arc::new(entry.clone()), at(0));
    }
    fleet
}

fn pool(weights: &[u64]) -> Fleet {
    let entries = weights
        .iter()
        .enumerate()
        .map(|(at, weights)| entry(&format!("e{at}"), *weights));
    fleet(&entries.collect::<Vec<_>>())
}

/// New weights are named at a time that the router saw, or before it knew of any.
fn name(fleet: &mut Fleet, weights: u64, named: Option<Duration>) {
    let age = NameAge {
        least: Duration::ZERO,
        most: named.map(|_| Duration::ZERO),
    };
    fleet.want(&model(), weights, age, named.unwrap_or_default());
}

fn prompt(session: u64, own: u64) -> Prompt {
    Prompt {
        model: model(),
        parts: vec![
            Part { id: 1, tokens: 2_520 },
            Part {
                id: session,
                tokens: 3_780,
            },
            Part { id: own, tokens: 2_890 },
        ],
        tokens: 9_190,
        output: 10,
    }
}

/// Where a request goes; it is counted there.
fn send(fleet: &mut Fleet, prompt: Option<&Prompt>, avoid: &[EndpointId], draw: u64, now: Duration) -> Option<String> {
    let service = service();
    let wish = Wish {
        service: &service,
        avoid,
        prompt,
        isolated: None,
    };
    match fleet.choose(&wish, draw, now) {
        Choice::At(picked) => {
            let endpoint = &picked.endpoint;
            fleet.begin(&endpoint.id, endpoint.incarnation, picked.prefill);
            Some(endpoint.id.to_string())
        }
        Choice::Full | Choice::Nowhere => None,
    }
}

/// Endpoints of a plain service have few slots, and a burst of calls comes within a moment. Sent to whichever answered fastest
/// last time they would queue up there while the others idle.
#[test]
fn a_burst_spreads_over_the_slots() {
    let mut fleet = pool(&[1, 1, 1]);
    let mut counts = [0; 3];
    for draw in 0..18 {
        let name = send(&mut fleet, None, &[], draw, at(0)).expect("an endpoint");
        counts[usize::from(name.as_bytes()[1] - b'0')] += 1;
    }
    assert_eq!(counts, [6, 6, 6]);
}

/// Other routers fill an endpoint of which this one sees little. What it reports on an answer keeps new calls away for a while,
/// then it is tried again.
#[test]
fn a_load_report_counts_for_a_moment() {
    let mut fleet = pool(&[1, 1]);
    let full = LoadReport { running: 6, waiting: 4 };
    fleet.reported(&EndpointId::from("e0"), full, at(0));
    for draw in 0..4 {
        assert_eq!(send(&mut fleet, None, &[], draw, at(1)).as_deref(), Some("e1"));
    }
    fleet.reported(&EndpointId::from("e1"), full, at(3_000));
    assert_eq!(send(&mut fleet, None, &[], 0, at(3_001)).as_deref(), Some("e0"));
}

/// An endpoint answers half of its calls with errors while it says that it is well. A caller notices failures for as long
/// as calls go there.
#[test]
fn an_endpoint_that_fails_half_of_its_calls_is_left() {
    let mut fleet = pool(&[1, 1, 1]);
    let (grey, now) = (EndpointId::from("e0"), at(0));
    for round in 0..20 {
        let outcome = if round % 2 == 0 {
            Outcome::Failed
        } else {
            Outcome::Answered(at(20))
        };
        fleet.outcome(&grey, outcome, now);
        for sound in ["e1", "e2"] {
            fleet.outcome(&EndpointId::from(sound), Outcome::Answered(at(20)), now);
        }
    }
    let used: BTreeSet<_> = (0..12)
        .filter_map(|draw| send(&mut fleet, None, &[], draw, now))
        .collect();
    assert!(!used.contains("e0"), "{used:?}");
    // With nothing else left it is still better than a refusal.
    let others = [EndpointId::from("e1"), EndpointId::from("e2")];
    assert_eq!(send(&mut fleet, None, &others, 0, now).as_deref(), Some("e0"));
}

/// An endpoint failed and was left; it gets no work, so it cannot show that it is well again. While it is left for ever the
/// others carry its load, slow down, and are left in their turn.
#[test]
fn an_endpoint_that_was_left_is_tried_again() {
    let mut fleet = pool(&[1, 1]);
    let grey = EndpointId::from("e0");
    for _ in 0..20 {
        fleet.outcome(&grey, Outcome::Failed, at(0));
        fleet.outcome(&EndpointId::from("e1"), Outcome::Answered(at(20)), at(0));
    }
    assert_eq!(send(&mut fleet, None, &[], 0, at(10)).as_deref(), Some("e1"));
    let used: BTreeSet<_> = (0..40)
        .filter_map(|draw| send(&mut fleet, None, &[], draw, at(20_000)))
        .collect();
    assert!(used.contains("e0"), "{used:?}");
}

/// Engines answer late under load, all of them. None is left for that.
#[test]
fn late_answers_make_no_endpoint_grey() {
    let mut fleet = pool(&[1, 1]);
    for _ in 0..50 {
        fleet.outcome(&EndpointId::from("e0"), Outcome::Silent, at(0));
        fleet.outcome(&EndpointId::from("e0"), Outcome::Answered(at(400)), at(0));
    }
    let used: BTreeSet<_> = (0..40)
        .filter_map(|own| send(&mut fleet, Some(&prompt(own, 99)), &[], own, at(10)))
        .collect();
    assert_eq!(used.len(), 2, "{used:?}");
}

/// Prompts of one session share thousands of tokens. Every router must send them to the same engine without asking the others, or
/// each engine reads them anew.
#[test]
fn routers_agree_on_a_prefix_home() {
    let homes = |draw: u64| -> Vec<Option<String>> {
        let mut fleet = pool(&[1; 9]);
        (10..40)
            .map(|session| send(&mut fleet, Some(&prompt(session, draw)), &[], draw, at(0)))
            .collect()
    };
    let (one, other) = (homes(1_000), homes(2_000));
    let same = one.iter().zip(&other).filter(|(one, other)| one == other).count();
    assert!(same >= 24, "{same} of 30 sessions have one home");
    let used: BTreeSet<_> = one.iter().collect();
    assert!(used.len() >= 6, "sessions spread over {} engines", used.len());
}

/// One session becomes hot. All of it at its home would queue there for seconds while other engines idle.
#[test]
fn a_hot_prefix_spills() {
    let mut fleet = pool(&[1; 9]);
    let used: BTreeSet<_> = (0..60)
        .filter_map(|own| send(&mut fleet, Some(&prompt(7, 100 + own)), &[], own, at(0)))
        .collect();
    assert!(used.len() >= 3, "{used:?}");
}

/// New weights are named and reach one engine after the other. A request that begins on older ones long after is a stale
/// answer; refusing everything until the last engine has them would be an outage.
#[test]
fn old_weights_serve_for_a_while_only() {
    struct Case {
        weights: &'static [u64],
        named: &'static [(u64, Option<u64>)],
        now: u64,
        allowed: &'static [&'static str],
    }
    let cases = [
        Case {
            weights: &[1, 1, 2],
            named: &[(2, Some(0))],
            now: 7_400,
            allowed: &["e0", "e1", "e2"],
        },
        Case {
            weights: &[1, 1, 2],
            named: &[(2, Some(0))],
            now: 7_500,
            allowed: &["e2"],
        },
        // Each version counts from its own naming.
        Case {
            weights: &[1, 2, 3],
            named: &[(2, Some(0)), (3, Some(4_000))],
            now: 7_500,
            allowed: &["e1", "e2"],
        },
        // Named before this router followed the store: perhaps long ago.
        Case {
            weights: &[1, 1, 2],
            named: &[(2, None)],
            now: 0,
            allowed: &["e2"],
        },
        // An answer on old weights is better than none.
        Case {
            weights: &[1, 1, 1],
            named: &[(2, Some(0))],
            now: 9_000,
            allowed: &["e0", "e1", "e2"],
        },
    ];
    for case in cases {
        let mut fleet = pool(case.weights);
        for (weights, at_ms) in case.named {
            name(&mut fleet, *weights, at_ms.map(at));
        }
        let used: BTreeSet<String> = (0..200)
            .filter_map(|own| send(&mut fleet, Some(&prompt(own, 1_000 + own)), &[], own * 7, at(case.now)))
            .collect();
        let used: Vec<&str> = used.iter().map(String::as_str).collect();
        assert_eq!(
            used, case.allowed,
            "{:?} {:?} at {}",
            case.weights, case.named, case.now
        );
    }
}

/// An engine that is about to load weights refuses what hasn't started, and some requests may be sent to one engine only.
#[test]
fn nothing_goes_to_an_endpoint_that_loads_or_leaves() {
    let mut leaving = entry("e2", 1);
    leaving.leaving = true;
    let mut fleet = fleet(&[entry("e0", 1), entry("e1", 1), leaving]);
    fleet.loads(BTreeSet::from([EndpointId::from("e0")]), BTreeSet::new());
    let used: BTreeSet<_> = (0..20)
        .filter_map(|own| send(&mut fleet, Some(&prompt(own, 100 + own)), &[], own, at(0)))
        .collect();
    assert_eq!(used.into_iter().collect::<Vec<_>>(), ["e1"]);
}

/// New weights are named every few seconds, and an engine finishes what it runs before it loads them. One long answer keeps it
/// from everything else for seconds, and a pool whose engines take turns at that is full: callers' first events are late.
/// So engines whose turn is near get none, as long as others serve; long prompts with short answers still go there.
#[test]
fn long_answers_keep_away_from_endpoints_that_load_soon() {
    let long = |session| Prompt {
        parts: vec![
            Part {
                id: session,
                tokens: 512,
            },
            Part { id: 8, tokens: 314 },
        ],
        tokens: 826,
        output: 290,
        ..prompt(session, 8)
    };
    let short = |session| prompt(session, 8);
    let ids = |names: &[&str]| {
        names
            .iter()
            .map(|name| EndpointId::from(*name))
            .collect::<BTreeSet<_>>()
    };
    struct Case<'a> {
        prompt: &'a dyn Fn(u64) -> Prompt,
        coming: &'static [&'static str],
        used: &'static [&'static str],
    }
    let cases = [
        Case {
            prompt: &long,
            coming: &["e0", "e1"],
            used: &["e2"],
        },
        Case {
            prompt: &long,
            coming: &["e0", "e1", "e2"],
            used: &["e0", "e1", "e2"],
        },
        Case {
            prompt: &short,
            coming: &["e0", "e1"],
            used: &["e0", "e1", "e2"],
        },
    ];
    for case in cases {
        let mut fleet = pool(&[1, 1, 1]);
        fleet.loads(BTreeSet::new(), ids(case.coming));
        let used: BTreeSet<EndpointId> = (0..12)
            .filter_map(|session| send(&mut fleet, Some(&(case.prompt)(session)), &[], session, at(0)))
            .map(EndpointId::from)
            .collect();
        assert_eq!(used, ids(case.used), "{:?} come next", case.coming);
    }
}

/// An engine refuses a request that names other weights than it serves. Believed to have the old ones it has the newest by
/// now; believed to have the newest it has restarted with what its entry says.
#[test]
fn a_refusal_for_other_weights_corrects_the_belief() {
    let id = EndpointId::from("e0");
    let mut fleet = pool(&[1, 1]);
    name(&mut fleet, 3, Some(at(0)));
    fleet.other_weights(&id, &model());
    assert_eq!(fleet.weights(&id, &model()), Some(3));
    fleet.other_weights(&id, &model());
    assert_eq!(fleet.weights(&id, &model()), Some(1));
}

/// Two connections to an endpoint break in a row: it has crashed. New calls there would only lose time until its entry goes.
#[test]
fn a_dead_endpoint_is_probed_and_not_called() {
    let mut fleet = pool(&[1, 1]);
    let dead = EndpointId::from("e0");
    fleet.outcome(&dead, Outcome::Unreached, at(0));
    fleet.outcome(&dead, Outcome::Unreached, at(10));
    for draw in 0..8 {
        assert_eq!(send(&mut fleet, None, &[], draw, at(20)).as_deref(), Some("e1"));
    }
    let probes = fleet.due_probes(at(300));
    assert_eq!(probes.iter().map(|entry| entry.id.as_str()).collect::<Vec<_>>(), ["e0"]);
    fleet.probed(&dead, Outcome::Answered(at(5)), at(310));
    let used: BTreeSet<_> = (0..8)
        .filter_map(|draw| send(&mut fleet, None, &[], draw, at(320)))
        .collect();
    assert!(used.contains("e0"), "{used:?}");
}

/// An endpoint restarts under its old name. What ran in its former life must not be counted in the new one.
#[test]
fn another_life_begins_without_load() {
    let mut fleet = pool(&[1, 1]);
    let id = EndpointId::from("e0");
    for _ in 0..6 {
        fleet.begin(&id, Incarnation(1), 0);
    }
    let mut reborn = entry("e0", 1);
    reborn.incarnation = Incarnation(2);
    fleet.serves(&Arc::new(reborn), at(10));
    fleet.end(&id, Incarnation(1));
    fleet.begin(&EndpointId::from("e1"), Incarnation(1), 0);
    assert_eq!(send(&mut fleet, None, &[], 0, at(20)).as_deref(), Some("e0"));
}

/// A router meets each endpoint of a large pool once in ten seconds, and its own reports are too old to tell which is full. What
/// its neighbours heard keeps requests away from it; an older word of theirs does not replace what the router heard itself.
#[test]
fn neighbours_reports_count_by_their_age() {
    let id = EndpointId::from("e0");
    let full = LoadReport { running: 6, waiting: 4 };
    let mut neighbour = pool(&[1, 1]);
    neighbour.reported(&id, full, at(1_000));
    let mut news = neighbour.load_news(at(900), true);
    assert_eq!(news.len(), 1);
    assert_eq!(neighbour.load_news(at(1_000), true), []);
    // Clocks differ: the news comes with its age.
    news[0].told = at(5_000);
    struct Case {
        own: Option<u64>,
        used: &'static str,
    }
    let cases = [
        Case { own: None, used: "e1" },
        Case {
            own: Some(4_900),
            used: "e1",
        },
        Case {
            own: Some(5_100),
            used: "e0",
        },
    ];
    for case in cases {
        let mut fleet = pool(&[1, 1]);
        fleet.reported(
            &EndpointId::from("e1"),
            LoadReport { running: 2, waiting: 0 },
            at(5_000),
        );
        if let Some(own) = case.own {
            fleet.reported(&id, LoadReport::default(), at(own));
        }
        fleet.hear_loads(&news, at(5_050));
        assert_eq!(
            send(&mut fleet, None, &[], 0, at(5_100)).as_deref(),
            Some(case.used),
            "{:?}",
            case.own
        );
        let passed_on = fleet.load_news(at(5_010), false);
        assert_eq!(passed_on.iter().any(|news| news.report == full), case.used == "e1");
    }
}

/// One of five engines has new weights. Were they preferred by all prompts, this one would get the work of five, from routers that
/// don't see how full it is; with five of six most prompts find room there.
#[test]
fn new_weights_get_a_little_more_than_their_share() {
    struct Case {
        weights: &'static [u64],
        least: usize,
        most: usize,
    }
    let cases = [
        Case {
            weights: &[2, 1, 1, 1, 1],
            least: 150,
            most: 400,
        },
        Case {
            weights: &[2, 2, 2, 2, 1],
            least: 900,
            most: 1_000,
        },
    ];
    for case in cases {
        let mut fleet = pool(case.weights);
        name(&mut fleet, 2, Some(at(0)));
        let renewed = (0..1_000).filter(|session| {
            let used = send(&mut fleet, Some(&prompt(*session, 9)), &[], session * 7, at(2_000));
            let used = used.map(EndpointId::from).expect("an endpoint");
            fleet.end(&used, Incarnation(1));
            fleet.prefilled(&used, Incarnation(1), 20_000);
            fleet.weights(&used, &model()) == Some(2)
        });
        let renewed = renewed.count();
        assert!(
            (case.least..=case.most).contains(&renewed),
            "{renewed} with {:?}",
            case.weights
        );
    }
}

/// Engines with old weights have queues of seconds, and all prompts leave them at one moment: what waits there begins on weights that
/// are too old by then. So prompts leave them one after the other, and the queues are short when the last ones go.
#[test]
fn prompts_leave_old_weights_one_after_the_other() {
    struct Case {
        now: u64,
        least: usize,
        most: usize,
    }
    let cases = [
        Case {
            now: 3_700,
            least: 600,
            most: 900,
        },
        Case {
            now: 5_600,
            least: 250,
            most: 450,
        },
        Case {
            now: 7_500,
            least: 0,
            most: 0,
        },
    ];
    for case in cases {
        let mut fleet = pool(&[2, 1, 1, 1, 1]);
        name(&mut fleet, 2, Some(at(0)));
        let old = (0..1_000).filter(|session| {
            let used = send(&mut fleet, Some(&prompt(*session, 9)), &[], session * 7, at(case.now));
            let used = used.map(EndpointId::from).expect("an endpoint");
            fleet.end(&used, Incarnation(1));
            fleet.prefilled(&used, Incarnation(1), 20_000);
            fleet.weights(&used, &model()) == Some(1)
        });
        let old = old.count();
        assert!((case.least..=case.most).contains(&old), "{old} at {}", case.now);
    }
}

/// The holder of orders dies in the middle of a rollout, and the engines that have the new weights fill up or go. A request that begins
/// on the old ones after the bound is a stale answer, worth nothing to its caller; it is refused, and comes back.
#[test]
fn nothing_begins_on_old_weights_after_the_bound() {
    struct Case {
        named: Option<u64>,
        now: u64,
        served: bool,
    }
    let cases = [
        Case {
            named: Some(0),
            now: 9_400,
            served: true,
        },
        Case {
            named: Some(0),
            now: 9_500,
            served: false,
        },
        // A router that has just started doesn't know when they were named: perhaps too long ago.
        Case {
            named: None,
            now: 0,
            served: false,
        },
        Case {
            named: None,
            now: 9_500,
            served: false,
        },
    ];
    for case in cases {
        let mut fleet = pool(&[1, 1]);
        name(&mut fleet, 2, case.named.map(at));
        let sent = send(&mut fleet, Some(&prompt(7, 8)), &[], 1, at(case.now));
        assert_eq!(sent.is_some(), case.served, "named {:?}, at {}", case.named, case.now);
    }
}

/// Engines with old weights are full, and what is sent there waits a second and more inside the engine. Sent before the bound and begun
/// after it, the answer is worth nothing to its caller; so an engine is left earlier by the wait that is to be expected there.
#[test]
fn an_engine_with_old_weights_is_left_earlier_by_the_wait_there() {
    struct Case {
        what: &'static str,
        seen: fn(&mut Fleet, &EndpointId),
        now: u64,
        used: &'static [&'static str],
    }
    let late: fn(&mut Fleet, &EndpointId) = |fleet, id| fleet.outcome(id, Outcome::Answered(at(1_400)), at(8_600));
    let cases = [
        Case {
            what: "idle",
            seen: |_, _| {},
            now: 8_700,
            used: &["e0", "e1"],
        },
        Case {
            what: "first events late",
            seen: late,
            now: 8_700,
            used: &["e1"],
        },
        Case {
            what: "first events late, long before the bound",
            seen: late,
            now: 7_900,
            used: &["e0", "e1"],
        },
        Case {
            what: "first events late a while ago",
            seen: |fleet, id| fleet.outcome(id, Outcome::Answered(at(1_400)), at(5_000)),
            now: 8_700,
            used: &["e0", "e1"],
        },
        Case {
            what: "many wait by its report",
            seen: |fleet, id| {
                let running = 12;
                fleet.reported(id, LoadReport { running, waiting: 60 }, at(8_600));
            },
            now: 8_700,
            used: &["e1"],
        },
        Case {
            what: "prompts of this router aren't read yet",
            seen: |fleet, id| fleet.begin(id, Incarnation(1), 90_000),
            now: 8_700,
            used: &["e1"],
        },
    ];
    let ids = ["e0", "e1"].map(EndpointId::from);
    for case in cases {
        // Each engine is asked with the other one out of the way: a full one has work only if it is the last.
        let used = ["e0", "e1"].into_iter().filter(|asked| {
            let mut fleet = pool(&[1, 1]);
            name(&mut fleet, 2, Some(at(0)));
            (case.seen)(&mut fleet, &ids[0]);
            let others: Vec<EndpointId> = ids.iter().filter(|id| id.as_str() != *asked).cloned().collect();
            send(&mut fleet, Some(&prompt(7, 8)), &others, 1, at(case.now)).is_some()
        });
        assert_eq!(used.collect::<Vec<_>>(), case.used, "{}", case.what);
    }
}
