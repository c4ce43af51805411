//! Measures the time to choose an engine, by pool size: `cargo run --release -p dispatch --example choice_cost`.

use dispatch::fleet::{
    Backlog, BacklogSource, Choice, Fleet, FleetSettings, PickContext, Prompt, PromptPart, ShortKey, TargetAge,
};
use dispatch::retries::RetryLimits;
use dispatch::site::EndpointEntry;
use ids::{DomainId, EndpointId, Incarnation, ModelId, ServiceId, SoftwareVersion, VmId};
use placement::EndpointKey;
use std::sync::Arc;
use std::time::{Duration, Instant};

const CHOICES: u64 = 5_000;
/// Simulated time of the first choice.
const START: Duration = Duration::from_secs(2);
/// Number of peers, and of endpoints in the backlog of each.
const ROUTERS: u64 = 32;
const BACKLOG_ENDPOINTS: u64 = 8;

fn main() {
    for endpoints in [12, 90, 140, 1_000, 6_800] {
        let mut fleet = pool(endpoints);
        let mut times: Vec<Duration> = (0..CHOICES).map(|number| choose(&mut fleet, number)).collect();
        times.sort();
        let at = |share: f64| times[(share * CHOICES as f64) as usize].as_secs_f64() * 1e6;
        println!(
            "{endpoints} endpoints: median {:.1} µs, 99 % {:.1} µs",
            at(0.5),
            at(0.99)
        );
    }
}

fn pool(endpoints: u64) -> Fleet {
    let mut fleet = Fleet::new(FleetSettings {
        domain: DomainId::from("here"),
        retries: RetryLimits {
            ratio: 0.2,
            extra: 100,
            window: Duration::from_secs(10),
            routers: 100,
        },
        soft_staleness: Duration::from_secs(9),
        hard_staleness: Duration::from_secs(11),
    });
    for number in 0..endpoints {
        let entry = EndpointEntry {
            id: EndpointId::from(format!("i-{number:010x}")),
            incarnation: Incarnation(1),
            service: ServiceId::from("pool"),
            address: "127.0.0.1:1".parse().expect("an address"),
            domain: DomainId::from(format!("d{}", number % 4)),
            slots: 24,
            software: SoftwareVersion::from("v1"),
            draining: false,
            weights: vec![(ModelId::from("grain"), 1 + number % 2)],
        };
        fleet.upsert_endpoint(&Arc::new(entry), Duration::ZERO);
    }
    let age = TargetAge {
        lower: Duration::ZERO,
        upper: Some(Duration::ZERO),
    };
    fleet.set_target(&ModelId::from("grain"), 2, age, Duration::ZERO);
    announce_backlogs(&mut fleet, endpoints);
    fleet
}

/// Reports the backlogs of as many routers as one router receives them from.
fn announce_backlogs(fleet: &mut Fleet, endpoints: u64) {
    for router in 0..ROUTERS {
        let tokens = (0..BACKLOG_ENDPOINTS).map(|index| {
            let endpoint = EndpointId::from(format!("i-{:010x}", (router * 31 + index * 7) % endpoints));
            (ShortKey::from(EndpointKey::from(&endpoint)), 2_000)
        });
        let backlog = Backlog {
            tokens: tokens.collect(),
            ..Backlog::default()
        };
        let source = BacklogSource::Follower(VmId::from(format!("vm-{router}")));
        fleet.update_backlog(source, backlog, START);
    }
}

fn choose(fleet: &mut Fleet, number: u64) -> Duration {
    let part = |id, tokens| PromptPart { id, tokens };
    let prompt = Prompt {
        model: ModelId::from("grain"),
        parts: vec![
            part(1 + number % 4, 2_520),
            part(10 + number % 2_000, 3_780),
            part(10_000 + number, 2_890),
        ],
        tokens: 9_190,
        max_output: 50,
    };
    let service = ServiceId::from("pool");
    let context = PickContext {
        service: &service,
        avoid: &[],
        prompt: Some(&prompt),
        scope: 0,
        objective: None,
        pause: None,
        unread: &[],
        rank: 0,
        attempts: 2,
        software: dispatch::fleet::SoftwareRule::Any,
    };
    let draw = number.wrapping_mul(0x9e37_79b9_7f4a_7c15);
    let started = Instant::now();
    let choice = fleet.choose(&context, draw, START + Duration::from_micros(100 * number));
    let elapsed = started.elapsed();
    assert!(matches!(choice, Choice::Endpoint(_)));
    elapsed
}
