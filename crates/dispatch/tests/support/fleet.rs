//! Builds a fleet of endpoints and sends requests to it.

use dispatch::fleet::{Choice, Fleet, FleetSettings, PickContext, Prompt, PromptPart, SoftwareRule, TargetAge};
use dispatch::retries::RetryLimits;
use dispatch::site::EndpointEntry;
use ids::{DomainId, EndpointId, Incarnation, ModelId, ServiceId, SoftwareVersion};
use std::sync::Arc;
use std::time::Duration;

pub const SOFT_STALENESS: Duration = Duration::from_millis(7_500);

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
        software: SoftwareVersion::from("v1"),
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
        soft_staleness: SOFT_STALENESS,
        hard_staleness: at(9_500),
    });
    for entry in entries {
        fleet.upsert_endpoint(&Arc::new(entry.clone()), at(0));
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

/// Sets new target weights at a time that the router saw, or, with `None`, before it first read the store.
pub fn set_target(fleet: &mut Fleet, weights: u64, set_at: Option<Duration>) {
    let age = TargetAge {
        lower: Duration::ZERO,
        upper: set_at.map(|_| Duration::ZERO),
    };
    fleet.set_target(&model(), weights, age, set_at.unwrap_or_default());
}

pub fn prompt(session: u64, own: u64) -> Prompt {
    Prompt {
        model: model(),
        parts: vec![
            PromptPart { id: 1, tokens: 2_520 },
            PromptPart {
                id: session,
                tokens: 3_780,
            },
            PromptPart { id: own, tokens: 2_890 },
        ],
        tokens: 9_190,
        max_output: 10,
    }
}

/// A request without an objective, not tried before, whose prefix may be cached.
pub fn context<'a>(service: &'a ServiceId, prompt: Option<&'a Prompt>) -> PickContext<'a> {
    PickContext {
        service,
        avoid: &[],
        prompt,
        scope: 0,
        objective: None,
        pause: None,
        unread: &[],
        rank: 0,
        attempts: 2,
        software: SoftwareRule::Any,
    }
}

/// Sends a prompt as [`send`] does, and records that its endpoint has read and answered it.
pub fn serve(fleet: &mut Fleet, prompt: &Prompt, draw: u64, now: Duration) -> Option<EndpointId> {
    let used = EndpointId::from(send(fleet, Some(prompt), &[], draw, now)?);
    fleet.prefill_finished(&used, Incarnation(1), now);
    fleet.request_finished(&used, Incarnation(1));
    Some(used)
}

/// Chooses an endpoint for a request and records the request there.
pub fn send(
    fleet: &mut Fleet,
    prompt: Option<&Prompt>,
    avoid: &[EndpointId],
    draw: u64,
    now: Duration,
) -> Option<String> {
    let service = service();
    let context = PickContext {
        avoid,
        ..context(&service, prompt)
    };
    match fleet.choose(&context, draw, now) {
        Choice::Endpoint(picked) => {
            let endpoint = &picked.endpoint;
            fleet.request_started(&endpoint.id, endpoint.incarnation, picked.prefill, now);
            Some(endpoint.id.to_string())
        }
        Choice::Full | Choice::RateLimited(_) | Choice::Occupied(_) | Choice::Unavailable => None,
    }
}
