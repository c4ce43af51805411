//! Results of clients under load, with and without the mechanism for it.

mod support;

use admission::{Mechanisms, Settings};
use support::{Record, Setup, Stream, arrivals, goodput, run, scenarios, scenarios::all};

/// Bounds of one figure of a scenario with the mechanism (`on`) and without it (`off`).
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

/// Five times the pool's capacity arrives for four seconds. Without early refusals the queue grows to half a minute.
/// During that time all clients, including later ones, get answers after they have stopped waiting.
#[test]
fn burst_is_refused_early() {
    check(&[
        case("burst", "late", Most(0.002), Least(0.2)),
        case("burst", "in time", Least(0.78), Most(0.75)),
        case("burst", "refused after waiting", Most(0.01), Most(0.0)),
        case(
            "burst, callers retry",
            "callers served eventually",
            Least(0.97),
            Most(0.85),
        ),
        case("burst, callers retry", "retries in time", Least(0.9), Most(0.5)),
    ]);
}

/// One workspace sends three times the capacity of the whole pool, as ordinary or as most urgent jobs. In a single
/// queue, most requests of the other workspaces are refused although these ask for half of the pool only.
#[test]
fn overloading_workspace_does_not_delay_others() {
    check(&[
        case("overloading workspace", "others in time", Least(0.999), Most(0.5)),
        case(
            "overloading workspace",
            "others p99 first token, s",
            Most(0.33),
            Least(1.5),
        ),
        case(
            "urgent overloading workspace",
            "others in time",
            Least(0.999),
            Most(0.3),
        ),
        case(
            "urgent overloading workspace",
            "others p99 first token, s",
            Most(0.33),
            Least(2.5),
        ),
        case("overloading workspace", "goodput", Least(0.95), Least(0.95)),
    ]);
}

/// One of four endpoints becomes ten times slower, or all are configured for eight times the requests that they can
/// process. With fixed limits requests queue inside the endpoints, and clients wait there past their deadlines.
#[test]
fn adaptive_limits_bound_endpoint_queues() {
    check(&[
        case("slow endpoint", "late", Most(0.015), Least(0.02)),
        case("slow endpoint", "p99 first token, s", Most(5.0), Least(6.5)),
        case("full endpoints", "late", Most(0.002), Least(0.015)),
        case("full endpoints", "p99 first token, s", Most(3.0), Least(3.8)),
        case("full endpoints", "goodput", Least(0.97), Most(0.95)),
    ]);
}

/// Eight routers send to the same endpoints, and each knows only its own requests. With fixed limits they overload the
/// endpoints several times, and clients wait there past their deadlines.
#[test]
fn adaptive_limits_with_many_routers() {
    check(&[
        case("eight routers", "late", Most(0.002), Least(0.01)),
        case("eight routers", "p99 first token, s", Most(3.4), Least(3.9)),
        case("eight routers", "goodput", Least(0.95), Most(0.95)),
    ]);
}

/// All endpoints become three times slower for half a minute without notice. Until the service model has followed, some
/// admitted jobs miss their deadline. Without early refusals all answers of that time and many later ones are late.
#[test]
fn slow_pool_is_detected() {
    check(&[
        case("pool slows down", "late", Most(0.015), Least(0.5)),
        case("pool slows down", "in time", Least(0.83), Most(0.5)),
    ]);
}

/// A few jobs of twenty seconds arrive among many of half a second, together one and a half times the pool's capacity.
/// In order of arrival all slots are eventually held by long jobs, and short jobs wait for seconds.
#[test]
fn short_jobs_are_not_blocked_by_long_ones() {
    check(&[
        case("long among short", "short in time", Least(0.99), Most(0.95)),
        case("long among short", "short p99 first token, s", Most(1.5), Least(2.5)),
        case("long among short", "long in time", Least(0.45), Least(0.45)),
        case("long among short", "goodput", Least(0.9), Least(0.9)),
    ]);
}

/// Twice and four times the pool's capacity for two minutes. Without early refusals nearly every answer is late
/// although the pool is busy.
#[test]
fn overload_keeps_goodput() {
    check(&[
        case("overload 2x", "goodput", Least(0.95), Most(0.1)),
        case("overload 4x", "goodput", Least(0.95), Most(0.1)),
        case("mixed lengths 4x", "goodput", Least(0.95), Most(0.1)),
        case("overload 2x", "late", Most(0.002), Least(0.9)),
        case("overload 4x", "refused after waiting", Most(0.002), Most(0.0)),
    ]);
}

/// Clients allow eight times the output that they use, at four fifths of the capacity and at twice the capacity. If all
/// of it were expected, two of five clients would be refused for their deadlines by a pool with idle slots.
#[test]
fn high_estimates_do_not_cause_refusals() {
    check(&[
        case("high estimates 0.8x", "in time", Least(0.99), Most(0.7)),
        case("high estimates 2x", "goodput", Least(0.95), Most(0.9)),
        case("high estimates 2x", "late", Most(0.002), Most(0.002)),
    ]);
}

/// One and a half times the capacity, a fifth of it urgent. Without ranks urgent clients are refused like all others.
/// With ranks the other clients must still be served from the remaining capacity.
#[test]
fn urgent_jobs_are_served_first() {
    check(&[
        case("priorities", "urgent in time", Least(0.999), Most(0.8)),
        case("priorities", "urgent p99 first token, s", Most(0.5), Least(2.0)),
        case("priorities", "others in time", Least(0.55), Least(0.65)),
        case("priorities", "goodput", Least(0.95), Least(0.95)),
    ]);
}

/// One workspace allows a tenth of its actual output, beside seven that allow the actual length. Together they ask for
/// four times the pool, and output lengths are not learnt. If only the estimate were charged, it would be served
/// several times its share.
#[test]
fn low_estimates_gain_nothing() {
    let share = |estimate: f64| {
        let mut streams: Vec<Stream> = (0..8).map(|workspace| Stream::of(workspace, 16.0)).collect();
        streams[0].estimate_ratio = estimate;
        let mechanisms = Mechanisms {
            learn: false,
            ..Mechanisms::default()
        };
        let settings = Settings::builder().mechanisms(mechanisms).build();
        let records = run(&Setup::pool(scenarios::SLOTS, settings), &arrivals(&streams, 4));
        let own: Vec<Record> = records.into_iter().filter(|one| one.arrival.workspace == 0).collect();
        goodput(&own, scenarios::SLOTS, (10.0, 120.0))
    };
    let (accurate, low) = (share(1.0), share(0.1));
    assert!((accurate - 0.125).abs() < 0.01, "{accurate} is not an eighth");
    assert!(
        low < accurate * 1.1,
        "{low} of the pool with low estimates, {accurate} with accurate ones"
    );
}
