//! How the routers of one failure domain follow the configuration.

use control::following::{
    DOMAIN_READ_INTERVAL, Follow, UpdateSource, WATCHERS, eligible_upstreams, follow, update_source,
};
use ids::{DomainId, VmId};
use std::collections::BTreeMap;

/// If every router kept a watch, each change would cost the platform as many calls as there are routers.
#[test]
fn platform_load_does_not_grow_with_the_domain() {
    let domain = DomainId::from("lahore");
    for size in [1_usize, 2, 3, 4, 22, 95, 380] {
        let live: Vec<VmId> = (0..size).map(|number| VmId::from(format!("vm-{number}"))).collect();
        let modes: Vec<Follow> = live.iter().map(|own| follow(own, &domain, &live)).collect();
        let watching = modes.iter().filter(|follow| **follow == Follow::Watch).count();
        assert_eq!(watching, size.min(WATCHERS), "of {size}");
        let rate: f64 = modes
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

/// A router that its peers do not consider live yet must not rely on them for changes.
#[test]
fn a_router_missing_from_the_live_list_keeps_a_watch() {
    let live = vec![VmId::from("a"), VmId::from("b"), VmId::from("c")];
    assert_eq!(
        follow(&VmId::from("d"), &DomainId::from("lahore"), &live),
        Follow::Watch
    );
}

/// Two routers of a domain watch the store. If all others followed the same one, it would carry the whole domain, and
/// its failure would send all of them to the store at once.
#[test]
fn followers_are_spread_over_the_watchers() {
    let domain = DomainId::from("lahore");
    for size in [1_usize, 2, 3, 30, 95] {
        let live: Vec<VmId> = (0..size).map(|number| VmId::from(format!("vm-{number}"))).collect();
        let mut followers: BTreeMap<&VmId, usize> = BTreeMap::new();
        let mut watching = 0;
        for own in &live {
            match update_source(own, &domain, &live) {
                UpdateSource::Store => watching += 1,
                UpdateSource::Routers(leaders) => {
                    assert_eq!(leaders.len(), WATCHERS, "a follower has no second leader");
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

/// The small VMs of a domain have links of 10 Mbit/s. A dozen followers would saturate such a link: they would get
/// updates about shared engine caches too late, and the router's clients would wait.
#[test]
fn routers_with_slow_links_have_no_followers() {
    struct Case {
        links: &'static [f64],
        eligible: &'static [usize],
    }
    let cases = [
        Case {
            links: &[10.0, 200.0, 10.0, 200.0],
            eligible: &[1, 3],
        },
        Case {
            links: &[10.0, 10.0],
            eligible: &[0, 1],
        },
        Case {
            links: &[0.0, 0.0, 0.0],
            eligible: &[0, 1, 2],
        },
        Case {
            links: &[400.0, 700.0],
            eligible: &[0, 1],
        },
        Case {
            links: &[],
            eligible: &[],
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
        let eligible: Vec<VmId> = case.eligible.iter().map(|at| vm(*at)).collect();
        assert_eq!(eligible_upstreams(&links), eligible, "{:?}", case.links);
    }
}
