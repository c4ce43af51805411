//! Reports of other routers with numbers that no router has observed.

mod support;

use dispatch::fleet::{Backlog, BacklogSource, ShortKey};
use dispatch::quotas::{QuotaBounds, Quotas, Subtotal};
use ids::{EndpointId, VmId};
use placement::EndpointKey;
use std::time::Duration;
use support::fleet::{at, pool, prompt, send};

const ROUTERS: u64 = 3;

/// A choice sums what routers report under the lock of the fleet. A sum that overflows would end it.
#[test]
fn the_largest_backlogs_leave_choices_possible() {
    let mut fleet = pool(&[1, 1]);
    let key = ShortKey::from(EndpointKey::from(&EndpointId::from("e0")));
    for router in 0..ROUTERS {
        let report = Backlog {
            tokens: vec![(key, u64::MAX)],
            unreachable: vec![(key, u32::MAX)],
            ..Backlog::default()
        };
        let source = BacklogSource::Follower(VmId::from(format!("router-{router}")));
        fleet.update_backlog(source, report, at(10));
    }
    for number in 0..8 {
        let chosen = send(&mut fleet, Some(&prompt(number, 100)), &[], number, at(20 + number));
        assert_eq!(chosen.as_deref(), Some("e1"), "request {number}");
    }
    // The other endpoint is out of reach, and full of the same numbers.
    let only = EndpointId::from("e1");
    for number in 0..8 {
        let avoid = [only.clone()];
        send(&mut fleet, Some(&prompt(number, 100)), &avoid, number, at(28 + number));
    }
    let total: Backlog = fleet.backlog_subtotal(at(40));
    assert!(total.tokens.iter().any(|(named, _)| *named == key), "{total:?}");
}

/// The same for the routers that watchers cover.
#[test]
fn the_largest_subtotals_leave_quotas_in_force() {
    let bounds = QuotaBounds {
        window: Duration::from_secs(1),
        excess: 0.1,
        slack: 0.0,
    };
    let mut quotas = Quotas::new(bounds);
    quotas.set_role(true, 4, at(0));
    let subtotal = Subtotal {
        routers: u32::MAX,
        totals: Vec::new(),
    };
    for router in 0..ROUTERS {
        let watcher = VmId::from(format!("router-{router}"));
        quotas.receive_subtotal(&watcher, 1, &subtotal, at(10));
    }
    quotas.receive_subtotal(&VmId::from("router-0"), 1, &subtotal, at(20));
}
