//! Scenarios, each with a mechanism off and on, and what the callers receive.

use super::{Endpoint, Got, Served, Setup, Stream, arrivals, first_quantile, goodput, in_time, run, seconds};
use admission::{Mechanisms, Settings};

/// Slots of the pools; with half a second a request they serve 32 a second.
pub const SLOTS: u32 = 16;
const SEED: u64 = 11;
/// What is judged, seconds; before it the service model learns.
const JUDGED: (f64, f64) = (10.0, 120.0);

/// Named figures of one run.
pub type Figures = Vec<(&'static str, f64)>;

/// A load, a pool and what is measured.
pub struct Scenario {
    pub name: &'static str,
    setup: fn(bool) -> Setup,
    streams: fn() -> Vec<Stream>,
    measure: fn(&[Served]) -> Figures,
}

impl Scenario {
    /// Runs it with the mechanism on or off.
    pub fn run(&self, on: bool) -> Figures {
        let served = run(&(self.setup)(on), &arrivals(&(self.streams)(), SEED));
        let warm = |one: &&Served| one.arrival.at.as_secs_f64() > JUDGED.0;
        let judged: Vec<Served> = served.iter().filter(warm).copied().collect();
        let mut figures = (self.measure)(&judged);
        figures.push(("goodput", goodput(&served, SLOTS, JUDGED)));
        let late = |one: &Served| matches!(one.got, Got::Refused(_)) && !one.after.is_zero();
        figures.push(("refused after waiting", share(&judged, late)));
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
        scenario("burst", refuse, burst, whole),
        scenario("burst, callers come back", come_back, burst, returns),
        scenario("hot caller", fair, || hot(5), behaved),
        scenario("urgent hot caller", fair, || hot(0), behaved),
        scenario("no hot caller", fair, || even(0.5), whole),
        scenario("slow endpoint", slow_endpoint, || even(0.7), whole),
        scenario("full endpoints", full_endpoints, || even(2.0), whole),
        scenario("pool slows down", slow_pool, || even(0.8), whole),
        scenario("long among short", lengths, long_short, by_length),
        scenario("overload 2x", refuse, || even(2.0), whole),
        scenario("overload 4x", refuse, || even(4.0), whole),
        scenario("mixed lengths 4x", refuse, mixed, whole),
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

/// Refused callers come back when they are told to, or else after a second.
fn come_back(on: bool) -> Setup {
    let mut setup = pool(|_| (), true);
    setup.come_back = if on { |told| told } else { |_| Some(seconds(1.0)) };
    setup
}

/// The operators allow each endpoint four times what it can work on at once, and one becomes ten times slower.
fn slow_endpoint(on: bool) -> Setup {
    let mut setup = endpoints(on, SLOTS);
    setup.endpoints[3].slow = (10.0, 20.0, 100.0);
    setup
}

/// All endpoints become three times slower for half a minute.
fn slow_pool(on: bool) -> Setup {
    let mut setup = refuse(on);
    setup.endpoints[0].slow = (3.0, 40.0, 70.0);
    setup
}

/// The operators allow each endpoint eight times what it can work on at once.
fn full_endpoints(on: bool) -> Setup {
    endpoints(on, SLOTS * 2)
}

fn endpoints(adaptive: bool, slots: u32) -> Setup {
    let mut setup = pool(|_| (), true);
    setup.endpoints = vec![Endpoint::new(slots, SLOTS / 4); 4];
    setup.adaptive = adaptive;
    setup
}

/// Eight workspaces that together ask for `load` times what the pool can serve.
fn even(load: f64) -> Vec<Stream> {
    (1..=8).map(|workspace| Stream::of(workspace, load * 4.0)).collect()
}

fn burst() -> Vec<Stream> {
    with(even(0.5), Stream::of(1, 160.0).span(20.0, 24.0))
}

fn hot(rank: u8) -> Vec<Stream> {
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

fn share(served: &[Served], of: impl Fn(&Served) -> bool) -> f64 {
    served.iter().filter(|one| of(one)).count() as f64 / served.len() as f64
}

fn whole(served: &[Served]) -> Figures {
    vec![
        ("in time", in_time(served, |_| true)),
        ("late", share(served, |one| one.got == Got::Late)),
        ("p99 first token, s", first_quantile(served, 0.99, |_| true)),
    ]
}

fn returns(served: &[Served]) -> Figures {
    let callers = share(served, |one| !one.second);
    let good = share(served, |one| matches!(one.got, Got::Answer { .. }));
    let second = in_time(served, |one| one.second);
    vec![
        ("callers served in the end", good / callers),
        ("second tries in time", second),
    ]
}

fn behaved(served: &[Served]) -> Figures {
    let behaved = |one: &Served| one.arrival.workspace != 0;
    vec![
        ("others in time", in_time(served, behaved)),
        ("others p99 first token, s", first_quantile(served, 0.99, behaved)),
        ("hot in time", in_time(served, |one| !behaved(one))),
    ]
}

fn by_length(served: &[Served]) -> Figures {
    let short = |one: &Served| one.arrival.workspace != 9;
    vec![
        ("short in time", in_time(served, short)),
        ("short p99 first token, s", first_quantile(served, 0.99, short)),
        ("long in time", in_time(served, |one| !short(one))),
    ]
}

fn by_rank(served: &[Served]) -> Figures {
    let urgent = |one: &Served| one.arrival.rank == 0;
    vec![
        ("urgent in time", in_time(served, urgent)),
        ("urgent p99 first token, s", first_quantile(served, 0.99, urgent)),
        ("others in time", in_time(served, |one| !urgent(one))),
    ]
}
