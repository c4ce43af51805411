//! What one failure domain asks of the platform.

use control::following::{
    DOMAIN_READ_INTERVAL, Follow, UpdateSource, WATCHERS, eligible_leaders, follow, update_source,
};
use ids::{DomainId, VmId};
use std::collections::BTreeMap;

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
            DOMAIN_READ_INTERVAL.as_secs_f64().recip()
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

/// A domain grows, and every router needs every change. Two of them watch the store; were all others to follow the same
/// one, it would carry the domain alone, and its death would send all of them to the store at once.
#[test]
fn routers_that_do_not_watch_are_spread_over_those_that_do() {
    let domain = DomainId::from("lahore");
    for size in [1_usize, 2, 3, 30, 95] {
        let live: Vec<VmId> = (0..size).map(|number| VmId::from(format!("vm-{number}"))).collect();
        let mut followers: BTreeMap<&VmId, usize> = BTreeMap::new();
        let mut watching = 0;
        for own in &live {
            match update_source(own, &domain, &live) {
                UpdateSource::Store => watching += 1,
                UpdateSource::Routers(leaders) => {
                    assert_eq!(leaders.len(), WATCHERS, "each has a second choice");
                    assert!(
                        leaders
                            .iter()
                            .all(|leader| update_source(leader, &domain, &live) == UpdateSource::Store)
                    );
                    *followers.entry(leaders[0]).or_default() += 1;
                }
            }
        }
        assert_eq!(watching, size.min(WATCHERS), "of {size}");
        let most = followers.values().max().copied().unwrap_or_default();
        assert!(most <= size * 2 / 3 + 1, "{most} of {size} follow one router");
    }
}

/// The small VMs of a domain have links of 10 Mbit/s. One of them is followed by a dozen routers: its link fills up,
/// they hear too late of what engines may share, and its callers wait.
#[test]
fn routers_with_narrow_links_are_not_followed() {
    struct Case {
        links: &'static [f64],
        followed: &'static [usize],
    }
    let cases = [
        Case {
            links: &[10.0, 200.0, 10.0, 200.0],
            followed: &[1, 3],
        },
        Case {
            links: &[10.0, 10.0],
            followed: &[0, 1],
        },
        Case {
            links: &[0.0, 0.0, 0.0],
            followed: &[0, 1, 2],
        },
        Case {
            links: &[400.0, 700.0],
            followed: &[0, 1],
        },
        Case {
            links: &[],
            followed: &[],
        },
    ];
    for case in cases {
        let vm = |number: usize| VmId::from(format!("vm-{number}"));
        let links: Vec<(VmId, f64)> = case
            .links
            .iter()
            .enumerate()
            .map(|(at, link)| (vm(at), *link))
            .collect();
        let followed: Vec<VmId> = case.followed.iter().map(|at| vm(*at)).collect();
        assert_eq!(eligible_leaders(&links), followed, "{:?}", case.links);
    }
}
