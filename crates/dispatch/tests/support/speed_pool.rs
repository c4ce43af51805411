//! Simulates routers that send streams to endpoints of unequal speed, without I/O and in steps of a millisecond.

use super::fleet::{at, entry, fleet, prompt, service};
use dispatch::fleet::{BacklogSource, Choice, Fleet, LoadReport, PickContext, PickedEndpoint, Work, WorkTime};
use dispatch::site::EndpointEntry;
use ids::{EndpointId, VmId};

/// Events of a stream after the first one, and the time for each at an idle endpoint of speed 1.
const EVENTS: u32 = 30;
const EVENT_MS: f64 = 20.0;
/// Running requests that double that time.
const DOUBLING: f64 = 20.0;
/// Too few for lanes, which would keep the prompts away from some endpoints.
const SLOTS: u32 = 24;
/// Intervals of the exchange of loads and of speeds.
const LOADS_MS: u64 = 250;
const SPEEDS_MS: u64 = 1_000;

/// A simulated pool.
#[derive(Clone, Copy)]
pub struct Pool {
    pub routers: usize,
    pub endpoints: usize,
    /// Streams per second.
    pub rate: f64,
    pub seconds: u64,
    /// Whether routers exchange sums of samples.
    pub exchange: bool,
    /// Time that work takes at an endpoint, as a multiple of that of speed 1.
    pub slowness: fn(endpoint: usize, now: u64) -> f64,
    /// What it reports, in percent.
    pub reported: fn(endpoint: usize, now: u64) -> Option<u64>,
}

struct Stream {
    router: usize,
    picked: PickedEndpoint,
    endpoint: usize,
    sent: u64,
    /// Work left, as the milliseconds that it takes at an idle endpoint of speed 1.
    left: f64,
}

/// Result of a simulation.
pub struct Outcome {
    pub fleets: Vec<Fleet>,
    /// Streams that each endpoint got in the second half.
    pub streams: Vec<usize>,
    /// Time that those that ended took, in milliseconds, ascending.
    pub durations: Vec<u64>,
}

pub fn id(endpoint: usize) -> EndpointId {
    EndpointId::from(format!("e{endpoint}").as_str())
}

pub fn simulate(pool: &Pool) -> Outcome {
    let entry = |at: usize| EndpointEntry {
        slots: SLOTS,
        ..entry(&format!("e{at}"), 1)
    };
    let entries: Vec<EndpointEntry> = (0..pool.endpoints).map(entry).collect();
    let mut fleets: Vec<Fleet> = (0..pool.routers).map(|_| fleet(&entries)).collect();
    let mut running = vec![0_u32; pool.endpoints];
    let mut outcome = Outcome {
        fleets: Vec::new(),
        streams: vec![0; pool.endpoints],
        durations: Vec::new(),
    };
    let mut streams: Vec<Stream> = Vec::new();
    let mut draw = 0x9e37_79b9_7f4a_7c15_u64;
    let (mut due, service) = (0.0, service());
    for now in 0..pool.seconds * 1_000 {
        due += pool.rate / 1_000.0;
        while due >= 1.0 {
            due -= 1.0;
            draw = draw.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1);
            let mixed = draw ^ (draw >> 29);
            let router = (mixed >> 33) as usize % pool.routers;
            let mut prompt = prompt(mixed % 500, mixed);
            // A part that all prompts share would keep them at a few endpoints at first.
            prompt.tokens -= prompt.parts.remove(0).tokens;
            let context = PickContext {
                prompt: Some(&prompt),
                ..super::fleet::context(&service, None)
            };
            let Choice::Endpoint(picked) = fleets[router].choose(&context, mixed, at(now)) else {
                panic!("no endpoint at {now}");
            };
            let picked_entry = picked.endpoint.clone();
            fleets[router].request_started(&picked_entry.id, picked_entry.incarnation, 0, at(now));
            let endpoint: usize = picked_entry.id.as_str()[1..].parse().expect("a number");
            running[endpoint] += 1;
            outcome.streams[endpoint] += usize::from(now >= pool.seconds * 500);
            streams.push(Stream {
                router,
                picked,
                endpoint,
                sent: now,
                left: EVENT_MS * f64::from(EVENTS),
            });
        }
        for stream in &mut streams {
            let load = 1.0 + f64::from(running[stream.endpoint]) / DOUBLING;
            stream.left -= 1.0 / (load * (pool.slowness)(stream.endpoint, now));
        }
        for ended in streams.extract_if(.., |stream| stream.left <= 0.0) {
            let (router, entry) = (&mut fleets[ended.router], &ended.picked.endpoint);
            let report = LoadReport {
                work_time: (pool.reported)(ended.endpoint, now).and_then(WorkTime::from_percent),
                ..LoadReport::new(running[ended.endpoint], 0)
            };
            router.record_load(&entry.id, report, at(now));
            router.record_work(entry, Work::Events(EVENTS), at(now - ended.sent), at(now));
            router.prefill_finished(&entry.id, entry.incarnation, at(ended.sent));
            router.request_finished(&entry.id, entry.incarnation);
            running[ended.endpoint] -= 1;
            if ended.sent >= pool.seconds * 500 {
                outcome.durations.push(now - ended.sent);
            }
        }
        if now % LOADS_MS == 0 {
            exchange_loads(&mut fleets, now);
        }
        if pool.exchange && now % SPEEDS_MS == 0 {
            exchange_speeds(&mut fleets, now);
        }
    }
    outcome.durations.sort_unstable();
    outcome.fleets = fleets;
    outcome
}

fn exchange_loads(fleets: &mut [Fleet], now: u64) {
    let since = at(now.saturating_sub(LOADS_MS));
    let loads: Vec<_> = fleets.iter().flat_map(|fleet| fleet.loads_since(since, true)).collect();
    for fleet in fleets {
        fleet.merge_loads(&loads, at(now));
    }
}

/// All routers report to the first one and get its sum in return.
fn exchange_speeds(fleets: &mut [Fleet], now: u64) {
    let Some((collector, followers)) = fleets.split_first_mut() else {
        return;
    };
    let vm = |at: usize| VmId::from(format!("router-{at}").as_str());
    for (index, follower) in followers.iter_mut().enumerate() {
        let own = follower.own_speeds(at(now));
        collector.update_speeds(BacklogSource::Follower(vm(index)), own, at(now));
        let others = collector.speeds_without(&vm(index), at(now));
        follower.update_speeds(BacklogSource::Upstream, others, at(now));
    }
}
