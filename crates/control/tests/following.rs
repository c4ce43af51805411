//! What one failure domain asks of the platform.

use control::following::{Follow, READ_EVERY, WATCHERS, follow};
use ids::{DomainId, VmId};

/// A fleet grows. If each router watched, each change would hit the platform with as many calls as there are routers.
#[test]
fn a_domain_costs_the_same_whatever_its_size() {
    let domain = DomainId::from("lahore");
    for size in [1_usize, 2, 3, 4, 22, 95, 380] {
        let live: Vec<VmId> = (0..size).map(|number| VmId::from(format!("vm-{number}"))).collect();
        let each: Vec<Follow> = live.iter().map(|own| follow(own, &domain, &live)).collect();
        let watching = each.iter().filter(|follow| **follow == Follow::Watch).count();
        assert_eq!(watching, size.min(WATCHERS), "of {size}");
        let rate: f64 = each
            .iter()
            .map(|follow| match follow {
                Follow::Watch => 0.0,
                Follow::Read(every) => every.as_secs_f64().recip(),
            })
            .sum();
        let expected = if size > WATCHERS {
            READ_EVERY.as_secs_f64().recip()
        } else {
            0.0
        };
        assert!((rate - expected).abs() < 1e-9, "{rate} reads a second of {size}");
    }
}

/// A router that the others don't count as live yet must not rely on them.
#[test]
fn an_unknown_router_watches_for_itself() {
    let live = vec![VmId::from("a"), VmId::from("b"), VmId::from("c")];
    assert_eq!(
        follow(&VmId::from("d"), &DomainId::from("lahore"), &live),
        Follow::Watch
    );
}
