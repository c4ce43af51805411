//! What callers receive under load, with the mechanism that answers it and without.

mod support;

use admission::Settings;
use support::{Served, Setup, Stream, arrivals, goodput, run, scenarios, scenarios::all};

/// Bounds of one figure of a scenario; `off` is what the figure must miss without the mechanism.
struct Case {
    scenario: &'static str,
    figure: &'static str,
    on: Bound,
    off: Bound,
}

#[derive(Clone, Copy)]
enum Bound {
    Least(f64),
    Most(f64),
}

use Bound::{Least, Most};

impl Bound {
    fn holds(self, figure: f64) -> bool {
        match self {
            Least(bound) => figure >= bound,
            Most(bound) => figure <= bound,
        }
    }
}

fn check(cases: &[Case]) {
    for case in cases {
        let scenario = all()
            .into_iter()
            .find(|one| one.name == case.scenario)
            .expect("a known scenario");
        let figure = |on| {
            scenario
                .run(on)
                .into_iter()
                .find(|(name, _)| *name == case.figure)
                .expect("a figure")
                .1
        };
        let (on, off) = (figure(true), figure(false));
        assert!(
            case.on.holds(on),
            "{}, {}: {on} with the mechanism",
            case.scenario,
            case.figure
        );
        assert!(
            case.off.holds(off),
            "{}, {}: {off} without it",
            case.scenario,
            case.figure
        );
    }
}

const fn case(scenario: &'static str, figure: &'static str, on: Bound, off: Bound) -> Case {
    Case {
        scenario,
        figure,
        on,
        off,
    }
}

/// Five times the pool's capacity arrives for four seconds. Without early refusals the queue grows to half a minute, and
/// for that long every caller, the later ones too, gets an answer after it has stopped waiting.
#[test]
fn burst() {
    check(&[
        case("burst", "late", Most(0.002), Least(0.2)),
        case("burst", "in time", Least(0.78), Most(0.75)),
        case("burst", "refused after waiting", Most(0.01), Most(0.0)),
        case(
            "burst, callers come back",
            "callers served in the end",
            Least(0.97),
            Most(0.85),
        ),
        case(
            "burst, callers come back",
            "second tries in time",
            Least(0.9),
            Most(0.5),
        ),
    ]);
}

/// One workspace sends three times what the whole pool can serve, as ordinary or as most urgent jobs. In one queue for all
/// the other workspaces, which ask for half of the pool, see most of their requests refused.
#[test]
fn hot_caller() {
    check(&[
        case("hot caller", "others in time", Least(0.999), Most(0.5)),
        case("hot caller", "others p99 first token, s", Most(0.33), Least(1.5)),
        case("urgent hot caller", "others in time", Least(0.999), Most(0.3)),
        case("urgent hot caller", "others p99 first token, s", Most(0.33), Least(2.5)),
        case("hot caller", "goodput", Least(0.95), Least(0.95)),
    ]);
}

/// One of four endpoints becomes ten times slower, or all are configured for eight times the requests that they can work
/// on. With fixed limits requests pile up inside the endpoints, and callers wait there past their deadline.
#[test]
fn endpoints() {
    check(&[
        case("slow endpoint", "late", Most(0.015), Least(0.02)),
        case("slow endpoint", "p99 first token, s", Most(5.0), Least(6.5)),
        case("full endpoints", "late", Most(0.002), Least(0.015)),
        case("full endpoints", "p99 first token, s", Most(3.0), Least(3.8)),
        case("full endpoints", "goodput", Least(0.97), Most(0.95)),
    ]);
}

/// All endpoints become three times slower for half a minute, which nobody announces. Until that is learnt from the answers
/// jobs are admitted that come late; without early refusals all of that time's callers and many later ones get theirs late.
#[test]
fn slow_pool() {
    check(&[
        case("pool slows down", "late", Most(0.015), Least(0.5)),
        case("pool slows down", "in time", Least(0.83), Most(0.5)),
    ]);
}

/// A few jobs of twenty seconds come among many of half a second, together one and a half times the pool's capacity.
/// First come first served, all slots end up under long jobs and short callers wait for seconds.
#[test]
fn long_among_short() {
    check(&[
        case("long among short", "short in time", Least(0.99), Most(0.95)),
        case("long among short", "short p99 first token, s", Most(1.5), Least(2.5)),
        case("long among short", "long in time", Least(0.45), Least(0.45)),
        case("long among short", "goodput", Least(0.9), Least(0.9)),
    ]);
}

/// Twice and four times what the pool can serve, for two minutes. Without early refusals nearly every answer comes late:
/// the pool is busy and nobody is served.
#[test]
fn overload() {
    check(&[
        case("overload 2x", "goodput", Least(0.95), Most(0.1)),
        case("overload 4x", "goodput", Least(0.95), Most(0.1)),
        case("mixed lengths 4x", "goodput", Least(0.95), Most(0.1)),
        case("overload 2x", "late", Most(0.002), Least(0.9)),
        case("overload 4x", "refused after waiting", Most(0.002), Most(0.0)),
    ]);
}

/// One and a half times the capacity, a fifth of it urgent. Without ranks urgent callers are refused like all others;
/// with them the others must still be served from what is left.
#[test]
fn priorities() {
    check(&[
        case("priorities", "urgent in time", Least(0.999), Most(0.8)),
        case("priorities", "urgent p99 first token, s", Most(0.5), Least(2.0)),
        case("priorities", "others in time", Least(0.55), Least(0.65)),
        case("priorities", "goodput", Least(0.95), Least(0.95)),
    ]);
}

/// One workspace says that its answers are a tenth as long as they turn out, beside seven that say the truth; together they
/// ask for four times the pool. Were only the estimate charged, it would be served several times its share.
#[test]
fn low_estimates_gain_nothing() {
    let share = |estimate: f64| {
        let mut streams: Vec<Stream> = (0..8).map(|workspace| Stream::of(workspace, 16.0)).collect();
        streams[0].estimate = estimate;
        let served = run(
            &Setup::pool(scenarios::SLOTS, Settings::default()),
            &arrivals(&streams, 4),
        );
        let own: Vec<Served> = served.into_iter().filter(|one| one.arrival.workspace == 0).collect();
        goodput(&own, scenarios::SLOTS, (10.0, 120.0))
    };
    let (honest, low) = (share(1.0), share(0.1));
    assert!((honest - 0.125).abs() < 0.01, "{honest} is not an eighth");
    assert!(
        low < honest * 1.1,
        "{low} of the pool with low estimates, {honest} with true ones"
    );
}
