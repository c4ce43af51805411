//! Load shedding across kinds of requests, and the exchange that it is based on.

use dispatch::fleet::{BacklogSource, Fleet, FleetSettings};
use dispatch::overload::{Admission, Kind};
use dispatch::retries::RetryLimits;
use ids::{DomainId, ServiceId, VmId, WorkspaceId};
use std::time::Duration;

const URGENT: Kind = Kind {
    rank: 0,
    objective: Duration::from_millis(400),
};
const PATIENT: Kind = Kind {
    rank: 2,
    objective: Duration::from_millis(1_500),
};
/// Tokens of an urgent and of a patient request.
const TOKENS: [u64; 2] = [1_000, 9_000];

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn service() -> ServiceId {
    ServiceId::from("chat")
}

fn router() -> Fleet {
    Fleet::new(FleetSettings {
        domain: DomainId::from("d1"),
        retries: RetryLimits {
            ratio: 0.2,
            extra: 1,
            window: ms(10_000),
            routers: 1,
        },
        soft_staleness: ms(5_000),
        hard_staleness: ms(6_000),
    })
}

fn admit(fleet: &mut Fleet, kind: Kind, workspace: &str, now: u64) -> Admission {
    let tokens = TOKENS[usize::from(kind == PATIENT)];
    fleet.admit_kind(&service(), kind, Some(&WorkspaceId::from(workspace)), tokens, ms(now))
}

/// Offers `count` requests of both kinds, whose first events take these multiples of their objectives.
fn offer(fleet: &mut Fleet, count: usize, urgent: f64, patient: f64, now: u64) {
    for _ in 0..count {
        for (kind, ratio) in [(URGENT, urgent), (PATIENT, patient)] {
            admit(fleet, kind, "w1", now);
            fleet.record_kind_delay(&service(), kind, kind.objective.mul_f64(ratio), ms(now));
        }
    }
}

/// A router of 136 sees too few first events to notice that they are late. All routers must learn it from the sums,
/// and none may count its own part, or a part that comes by two ways, twice.
#[test]
fn all_routers_decide_by_the_same_sums() {
    let (mut all, mut first, mut second) = (router(), router(), router());
    let names: Vec<VmId> = (0..8)
        .map(|number| VmId::from(format!("vm-{number}").as_str()))
        .collect();
    let mut followers: Vec<Fleet> = names.iter().map(|_| router()).collect();
    for follower in &mut followers {
        offer(follower, 1, 4.0, 1.0, 0);
        offer(&mut all, 1, 4.0, 1.0, 0);
    }
    for (index, (name, follower)) in names.iter().zip(&followers).enumerate() {
        let watcher = if index % 2 == 0 { &mut first } else { &mut second };
        let source = BacklogSource::Follower(name.clone());
        watcher.update_backlog(source, follower.own_backlog(ms(0)), ms(0));
    }
    let subtotals = [first.backlog_subtotal(ms(0)), second.backlog_subtotal(ms(0))];
    let [from_first, from_second] = subtotals;
    first.update_backlog(BacklogSource::Watcher(VmId::from("second")), from_second, ms(0));
    second.update_backlog(BacklogSource::Watcher(VmId::from("first")), from_first, ms(0));
    for (index, (name, follower)) in names.iter().zip(&mut followers).enumerate() {
        let watcher = if index % 2 == 0 { &first } else { &second };
        follower.update_backlog(BacklogSource::Upstream, watcher.backlog_without(name, ms(0)), ms(0));
    }
    let expected = admit(&mut all, PATIENT, "w1", 100);
    assert!(expected.share < 0.7, "{expected:?}");
    for fleet in followers.iter_mut().chain([&mut first, &mut second]) {
        let admission = admit(fleet, PATIENT, "w1", 100);
        assert!(
            (admission.pressure - expected.pressure).abs() < 1e-9,
            "{admission:?}, not {expected:?}"
        );
        assert!(
            (admission.share - expected.share).abs() < 1e-9,
            "{admission:?}, not {expected:?}"
        );
    }
    let alone = admit(&mut router(), PATIENT, "w1", 100);
    assert_eq!(alone.share, 1.0, "a router that has just started");
}
