//! Load scenarios, each run with a mechanism off and on.

use super::{ClientResult, Endpoint, Record, Setup, Stream, arrivals, first_quantile, goodput, in_time, run, seconds};
use admission::{Mechanisms, Settings};

/// Slots of the pools. At half a second per request they serve 32 per second.
pub const SLOTS: u32 = 16;
const SEED: u64 = 11;
/// Evaluated time span, seconds. Before it the service model is trained.
const EVALUATED_SPAN: (f64, f64) = (10.0, 120.0);

/// Named figures of one run.
pub type Figures = Vec<(&'static str, f64)>;

/// A load, a pool and the figures to measure.
pub struct Scenario {
    pub name: &'static str,
    setup: fn(bool) -> Setup,
    streams: fn() -> Vec<Stream>,
    measure: fn(&[Record]) -> Figures,
}

impl Scenario {
    /// Runs the scenario with the mechanism on or off.
    pub fn run(&self, on: bool) -> Figures {
        let records = run(&(self.setup)(on), &arrivals(&(self.streams)(), SEED));
        let warm = |one: &&Record| one.arrival.at.as_secs_f64() > EVALUATED_SPAN.0;
        let evaluated: Vec<Record> = records.iter().filter(warm).copied().collect();
        let mut figures = (self.measure)(&evaluated);
        figures.push(("goodput", goodput(&records, SLOTS, EVALUATED_SPAN)));
        let waited = |one: &Record| matches!(one.result, ClientResult::Refused(_)) && !one.after.is_zero();
        figures.push(("refused after waiting", share(&evaluated, waited)));
        figures
    }
}

/// All scenarios.
pub fn all() -> Vec<Scenario> {
    let scenario = |name, setup, streams, measure| Scenario {
        name,
        setup,
        streams,
        measure,
    };
    vec![
        scenario("burst", refuse, burst, all_clients),
        scenario("burst, callers retry", clients_retry, burst, retries),
        scenario("overloading workspace", fair, || overloading(5), other_workspaces),
        scenario(
            "urgent overloading workspace",
            fair,
            || overloading(0),
            other_workspaces,
        ),
        scenario("no overloading workspace", fair, || even(0.5), all_clients),
        scenario("slow endpoint", slow_endpoint, || even(0.7), all_clients),
        scenario("full endpoints", full_endpoints, || even(2.0), all_clients),
        scenario("eight routers", eight_routers, || even(2.0), all_clients),
        scenario("pool slows down", slow_pool, || even(0.8), all_clients),
        scenario("long among short", lengths, long_short, by_length),
        scenario("overload 2x", refuse, || even(2.0), all_clients),
        scenario("overload 4x", refuse, || even(4.0), all_clients),
        scenario("mixed lengths 4x", refuse, mixed, all_clients),
        scenario("high estimates 0.8x", learn, || high(0.8), all_clients),
        scenario("high estimates 2x", learn, || high(2.0), all_clients),
        scenario("priorities", priorities, ranks, by_rank),
    ]
}

fn pool(off: impl Fn(&mut Mechanisms), on: bool) -> Setup {
    let mut mechanisms = Mechanisms::default();
    if !on {
        off(&mut mechanisms);
    }
    Setup::pool(SLOTS, Settings::builder().mechanisms(mechanisms).build())
}

fn refuse(on: bool) -> Setup {
    pool(|all| all.refuse = false, on)
}

fn fair(on: bool) -> Setup {
    pool(|all| all.fair = false, on)
}

fn lengths(on: bool) -> Setup {
    pool(|all| (all.reserve, all.short_first) = (false, false), on)
}

fn priorities(on: bool) -> Setup {
    pool(|all| all.priorities = false, on)
}

fn learn(on: bool) -> Setup {
    pool(|all| all.learn = false, on)
}

/// Refused clients retry after the returned delay, or always after a second.
fn clients_retry(on: bool) -> Setup {
    let mut setup = pool(|_| (), true);
    setup.retry_policy = if on {
        |retry_after| retry_after
    } else {
        |_| Some(seconds(1.0))
    };
    setup
}

/// Each endpoint is configured for four times the requests it can process at once, and one becomes ten times slower.
fn slow_endpoint(on: bool) -> Setup {
    let mut setup = endpoints(on, SLOTS);
    setup.endpoints[3].slowdown = (10.0, 20.0, 100.0);
    setup
}

/// All endpoints become three times slower for half a minute.
fn slow_pool(on: bool) -> Setup {
    let mut setup = refuse(on);
    setup.endpoints[0].slowdown = (3.0, 40.0, 70.0);
    setup
}

/// Each endpoint is configured for eight times the requests it can process at once.
fn full_endpoints(on: bool) -> Setup {
    endpoints(on, SLOTS * 2)
}

/// Eight routers without knowledge of each other; each could fill the endpoints alone.
fn eight_routers(on: bool) -> Setup {
    let mut setup = endpoints(on, SLOTS / 2);
    setup.endpoints = vec![Endpoint::new(SLOTS / 2, SLOTS / 2); 2];
    setup.routers = 8;
    setup
}

fn endpoints(adaptive: bool, slots: u32) -> Setup {
    let mut setup = pool(|_| (), true);
    setup.endpoints = vec![Endpoint::new(slots, SLOTS / 4); 4];
    setup.adaptive = adaptive;
    setup
}

/// Eight workspaces that together ask for `load` times the pool's capacity.
fn even(load: f64) -> Vec<Stream> {
    (1..=8).map(|workspace| Stream::of(workspace, load * 4.0)).collect()
}

/// Clients allow eight times the actual output.
fn high(load: f64) -> Vec<Stream> {
    let mut streams = even(load);
    streams.iter_mut().for_each(|stream| stream.estimate_ratio = 8.0);
    streams
}

fn burst() -> Vec<Stream> {
    with(even(0.5), Stream::of(1, 160.0).span(20.0, 24.0))
}

fn overloading(rank: u8) -> Vec<Stream> {
    with(even(0.5), Stream::of(0, 96.0).rank(rank))
}

fn long_short() -> Vec<Stream> {
    with(even(0.5), Stream::of(9, 0.8).tokens(20_000, 1_900).slack(120.0))
}

/// Jobs of a fifth of a second, of a second and of five, a third of the load each.
fn mixed() -> Vec<Stream> {
    let sizes = [(10, 107.0, 2.0), (80, 21.3, 6.0), (480, 4.3, 20.0)];
    let streams = |workspace| {
        sizes.map(|(output, rate, slack)| Stream::of(workspace, rate / 8.0).tokens(1_400, output).slack(slack))
    };
    (1..=8).flat_map(streams).collect()
}

fn ranks() -> Vec<Stream> {
    let ranked = |workspace| [Stream::of(workspace, 1.2).rank(0), Stream::of(workspace, 4.8).rank(9)];
    (1..=8).flat_map(ranked).collect()
}

fn with(mut streams: Vec<Stream>, more: Stream) -> Vec<Stream> {
    streams.push(more);
    streams
}

fn share(records: &[Record], of: impl Fn(&Record) -> bool) -> f64 {
    records.iter().filter(|one| of(one)).count() as f64 / records.len() as f64
}

fn all_clients(records: &[Record]) -> Figures {
    vec![
        ("in time", in_time(records, |_| true)),
        ("late", share(records, |one| one.result == ClientResult::Late)),
        ("p99 first token, s", first_quantile(records, 0.99, |_| true)),
    ]
}

fn retries(records: &[Record]) -> Figures {
    let clients = share(records, |one| !one.is_retry);
    let answered = share(records, |one| matches!(one.result, ClientResult::Answer { .. }));
    let retried = in_time(records, |one| one.is_retry);
    vec![
        ("callers served eventually", answered / clients),
        ("retries in time", retried),
    ]
}

fn other_workspaces(records: &[Record]) -> Figures {
    let other_workspaces = |one: &Record| one.arrival.workspace != 0;
    vec![
        ("others in time", in_time(records, other_workspaces)),
        (
            "others p99 first token, s",
            first_quantile(records, 0.99, other_workspaces),
        ),
        ("overloading in time", in_time(records, |one| !other_workspaces(one))),
    ]
}

fn by_length(records: &[Record]) -> Figures {
    let short = |one: &Record| one.arrival.workspace != 9;
    vec![
        ("short in time", in_time(records, short)),
        ("short p99 first token, s", first_quantile(records, 0.99, short)),
        ("long in time", in_time(records, |one| !short(one))),
    ]
}

fn by_rank(records: &[Record]) -> Figures {
    let urgent = |one: &Record| one.arrival.rank == 0;
    vec![
        ("urgent in time", in_time(records, urgent)),
        ("urgent p99 first token, s", first_quantile(records, 0.99, urgent)),
        ("others in time", in_time(records, |one| !urgent(one))),
    ]
}
