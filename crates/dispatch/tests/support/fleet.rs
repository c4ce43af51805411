//! A fleet of endpoints, and where its requests go.

use dispatch::fleet::{Choice, Fleet, FleetSettings, NameAge, Part, Prompt, Wish};
use dispatch::retries::RetryLimits;
use dispatch::site::EndpointEntry;
use ids::{DomainId, EndpointId, Incarnation, ModelId, ServiceId};
use std::sync::Arc;
use std::time::Duration;

pub const OLD: Duration = Duration::from_millis(7_500);

pub fn at(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

pub fn model() -> ModelId {
    ModelId::from("grain")
}

pub fn service() -> ServiceId {
    ServiceId::from("pool")
}

pub fn entry(id: &str, weights: u64) -> EndpointEntry {
    EndpointEntry {
        id: EndpointId::from(id),
        incarnation: Incarnation(1),
        service: service(),
        address: "127.0.0.1:1".parse().expect("an address"),
        domain: DomainId::from("here"),
        slots: 6,
        draining: false,
        weights: vec![(model(), weights)],
    }
}

pub fn fleet(entries: &[EndpointEntry]) -> Fleet {
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

pub fn pool(weights: &[u64]) -> Fleet {
    let entries = weights
        .iter()
        .enumerate()
        .map(|(at, weights)| entry(&format!("e{at}"), *weights));
    fleet(&entries.collect::<Vec<_>>())
}

/// New weights are named at a time that the router saw, or before it knew of any.
pub fn name(fleet: &mut Fleet, weights: u64, named: Option<Duration>) {
    let age = NameAge {
        least: Duration::ZERO,
        most: named.map(|_| Duration::ZERO),
    };
    fleet.want(&model(), weights, age, named.unwrap_or_default());
}

pub fn prompt(session: u64, own: u64) -> Prompt {
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
pub fn send(
    fleet: &mut Fleet,
    prompt: Option<&Prompt>,
    avoid: &[EndpointId],
    draw: u64,
    now: Duration,
) -> Option<String> {
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
            fleet.begin(&endpoint.id, endpoint.incarnation, picked.prefill, now);
            Some(endpoint.id.to_string())
        }
        Choice::Full | Choice::Limited(_) | Choice::Nowhere => None,
    }
}
