//! Scenarios, each with a mechanism off and on, and what the callers receive.

use super::{Endpoint, Got, Served, Setup, Stream, arrivals, first_quantile, goodput, in_time, run, seconds};
use admission::{Mechanisms, Settings, Tokens};

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
        figures.push(("refused after waiting", refused_late(&judged)));
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
        scenario("hot caller", fair, hot, behaved),
        scenario("urgent hot caller", fair, urgent_hot, behaved),
        scenario("slow endpoint", slow_endpoint, || even(0.7), whole),
        scenario("full endpoints", full_endpoints, || even(2.0), whole),
        scenario("long among short", lengths, long_short, by_length),
        scenario("overload 2x", refuse, || even(2.0), whole),
        scenario("overload 4x", refuse, || even(4.0), whole),
        scenario("mixed lengths 4x", refuse, mixed, whole),
        scenario("priorities", priorities, ranks, by_rank),
    ]
}

fn pool(mechanisms: Mechanisms) -> Setup {
    Setup::pool(SLOTS, Settings::builder().mechanisms(mechanisms).build())
}

fn refuse(on: bool) -> Setup {
    pool(Mechanisms {
        refuse: on,
        ..Mechanisms::default()
    })
}

fn fair(on: bool) -> Setup {
    pool(Mechanisms {
        fair: on,
        ..Mechanisms::default()
    })
}

fn lengths(on: bool) -> Setup {
    pool(Mechanisms {
        reserve: on,
        short_first: on,
        ..Mechanisms::default()
    })
}

fn priorities(on: bool) -> Setup {
    pool(Mechanisms {
        priorities: on,
        ..Mechanisms::default()
    })
}

/// Refused callers come back when they are told to, or else after a second.
fn come_back(on: bool) -> Setup {
    let come_back: fn(_) -> _ = if on { |told| told } else { |_| Some(seconds(1.0)) };
    Setup {
        come_back,
        ..pool(Mechanisms::default())
    }
}

fn slow_endpoint(on: bool) -> Setup {
    let sound = Endpoint {
        slots: SLOTS,
        ..Endpoint::sound(SLOTS / 4)
    };
    let slow = Endpoint {
        slow: (10.0, 20.0, 100.0),
        ..sound
    };
    Setup {
        endpoints: vec![sound, sound, sound, slow],
        adaptive: on,
        ..pool(Mechanisms::default())
    }
}

/// The operators allow each endpoint eight times what it can work on at once.
fn full_endpoints(on: bool) -> Setup {
    let endpoint = Endpoint {
        slots: SLOTS * 2,
        ..Endpoint::sound(SLOTS / 4)
    };
    Setup {
        endpoints: vec![endpoint; 4],
        adaptive: on,
        ..pool(Mechanisms::default())
    }
}

/// Eight workspaces that together ask for `load` times what the pool can serve.
fn even(load: f64) -> Vec<Stream> {
    let stream = |workspace| Stream {
        workspace,
        rate: load * 4.0,
        ..Stream::default()
    };
    (1..=8).map(stream).collect()
}

fn burst() -> Vec<Stream> {
    let mut streams = even(0.5);
    streams.push(Stream {
        workspace: 1,
        rate: 160.0,
        span: (20.0, 24.0),
        ..Stream::default()
    });
    streams
}

fn hot() -> Vec<Stream> {
    let mut streams = even(0.5);
    streams.push(Stream {
        workspace: 0,
        rate: 96.0,
        ..Stream::default()
    });
    streams
}

fn urgent_hot() -> Vec<Stream> {
    let mut streams = even(0.5);
    streams.push(Stream {
        workspace: 0,
        rank: 0,
        rate: 96.0,
        ..Stream::default()
    });
    streams
}

fn long_short() -> Vec<Stream> {
    let mut streams = even(0.5);
    let tokens = Tokens {
        uncached: 20_000,
        output: 1_900,
    };
    streams.push(Stream {
        workspace: 9,
        rate: 0.8,
        tokens,
        slack: Some(120.0),
        ..Stream::default()
    });
    streams
}

/// Jobs of a fifth of a second, of a second and of five, a third of the load each.
fn mixed() -> Vec<Stream> {
    let sizes = [(10, 107.0, 2.0), (80, 21.3, 6.0), (480, 4.3, 20.0)];
    let stream = |workspace| {
        sizes.map(|(output, rate, slack)| {
            let tokens = Tokens {
                uncached: 1_400,
                output,
            };
            Stream {
                workspace,
                rate: rate / 8.0,
                tokens,
                slack: Some(slack),
                ..Stream::default()
            }
        })
    };
    (1..=8).flat_map(stream).collect()
}

fn ranks() -> Vec<Stream> {
    let streams = even(1.5).into_iter();
    let ranked = |stream: Stream| {
        let urgent = Stream {
            rank: 0,
            rate: stream.rate * 0.2,
            ..stream
        };
        [
            urgent,
            Stream {
                rank: 9,
                rate: stream.rate * 0.8,
                ..stream
            },
        ]
    };
    streams.flat_map(ranked).collect()
}

fn late(served: &[Served]) -> f64 {
    served.iter().filter(|one| one.got == Got::Late).count() as f64 / served.len() as f64
}

/// Share of the requests that were refused after they had waited.
fn refused_late(served: &[Served]) -> f64 {
    let refused = served
        .iter()
        .filter(|one| matches!(one.got, Got::Refused(_)) && !one.after.is_zero());
    refused.count() as f64 / served.len() as f64
}

fn whole(served: &[Served]) -> Figures {
    vec![
        ("in time", in_time(served, |_| true)),
        ("late", late(served)),
        ("p99 first token, s", first_quantile(served, 0.99, |_| true)),
    ]
}

fn returns(served: &[Served]) -> Figures {
    let finals = served.len() as f64 - served.iter().filter(|one| one.second).count() as f64;
    let good = served
        .iter()
        .filter(|one| matches!(one.got, Got::Answer { .. }))
        .count() as f64;
    vec![
        ("callers served in the end", good / finals),
        ("second tries in time", in_time(served, |one| one.second)),
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
