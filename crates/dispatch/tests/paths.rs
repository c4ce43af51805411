//! Paths to endpoints while routers are cut off from them.

use dispatch::paths::{Helper, HelperReply, PathPlan, Paths};
use dispatch::site::EndpointEntry;
use ids::{DomainId, EndpointId, Incarnation, ServiceId, SoftwareVersion, VmId};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

fn ms(time: u64) -> Duration {
    Duration::from_millis(time)
}

fn endpoint(number: usize) -> EndpointId {
    EndpointId::from(format!("e{number}"))
}

/// An endpoint of the service.
fn entry(number: usize, service: &str) -> EndpointEntry {
    EndpointEntry {
        id: endpoint(number),
        incarnation: Incarnation(1),
        service: ServiceId::from(service),
        address: "127.0.0.1:1".parse().expect("an address"),
        domain: DomainId::from("d0"),
        slots: 6,
        software: SoftwareVersion::from("v1"),
        draining: false,
        weights: Vec::new(),
    }
}

/// `count` routers, spread evenly over the domains.
fn routers(count: usize, domains: usize) -> Vec<Helper> {
    let router = |number: usize| Helper {
        vm: VmId::from(format!("vm-{number}")),
        domain: DomainId::from(format!("d{}", number % domains)),
    };
    (0..count).map(router).collect()
}

/// A lost path that is tried again by each request would delay each of them; one that is never tried would be lost for
/// ever.
#[test]
fn a_lost_path_is_tried_again_at_intervals() {
    let mut paths = Paths::default();
    let id = endpoint(1);
    let is_due = |plan| matches!(plan, PathPlan::Direct { tunnel_after } if tunnel_after.is_zero());
    assert!(matches!(paths.plan(&id, ms(0)), PathPlan::Direct { tunnel_after } if tunnel_after > ms(0)));
    assert!(paths.tunnelled(&entry(1, "pool"), ms(150)));
    let mut direct = 0;
    for time in (160..1_160).step_by(10) {
        direct += usize::from(is_due(paths.plan(&id, ms(time))));
        assert!(!paths.tunnelled(&entry(1, "pool"), ms(time)));
    }
    assert!((2..=5).contains(&direct), "{direct} connections in a second");
    assert!(paths.connected(&entry(1, "pool"), ms(1_160)));
    assert!(!is_due(paths.plan(&id, ms(1_200))) && paths.lost() == 0);
}

/// A path that nobody uses would be lost for ever.
#[test]
fn an_unused_lost_path_is_forgotten() {
    let mut paths = Paths::default();
    paths.tunnelled(&entry(1, "pool"), ms(0));
    assert!(matches!(paths.plan(&endpoint(2), ms(100)), PathPlan::Direct { .. }));
    assert_eq!(paths.lost(), 1);
    paths.plan(&endpoint(2), ms(60_000));
    assert_eq!(paths.lost(), 0);
}

/// Each request to an endpoint that is down would make several routers connect to it.
#[test]
fn no_tunnel_is_requested_to_an_endpoint_that_others_cannot_reach() {
    let mut paths = Paths::default();
    paths.unreachable_from_others(&endpoint(1), ms(0));
    assert_eq!(paths.plan(&endpoint(1), ms(500)), PathPlan::DirectOnly);
    assert!(matches!(paths.plan(&endpoint(2), ms(500)), PathPlan::Direct { .. }));
    assert!(matches!(paths.plan(&endpoint(1), ms(1_500)), PathPlan::Direct { .. }));
    // A router that is cut off may have asked others that are cut off as well.
    paths.unreachable_from_others(&endpoint(1), ms(2_000));
    paths.tunnelled(&entry(2, "pool"), ms(2_000));
    assert!(matches!(paths.plan(&endpoint(1), ms(2_010)), PathPlan::Direct { .. }));
}

/// A cut router of a large pool uses few endpoints. If their share of all endpoints counted, it would go on holding the
/// order lease and load no weights.
#[test]
fn a_router_that_gets_only_tunnels_is_cut_off() {
    let mut paths = Paths::default();
    let service = ServiceId::from("pool");
    paths.connected(&entry(1, "pool"), ms(0));
    paths.tunnelled(&entry(2, "pool"), ms(200));
    assert!(!paths.is_cut_off(&service, ms(1_500)), "one lost path");
    paths.tunnelled(&entry(3, "pool"), ms(300));
    assert!(!paths.is_cut_off(&service, ms(900)), "it connected a moment ago");
    paths.connected(&entry(9, "other"), ms(1_000));
    assert!(paths.is_cut_off(&service, ms(1_100)), "it reaches only another service");
    paths.connected(&entry(4, "pool"), ms(1_200));
    assert!(!paths.is_cut_off(&service, ms(1_300)), "it reaches another endpoint");
    assert!(!paths.is_cut_off(&service, ms(9_000)), "nothing was needed for long");
}

/// Two routers without a path would send a tunnel to each other.
#[test]
fn a_router_without_a_path_carries_no_tunnel() {
    let mut paths = Paths::default();
    assert!(paths.carry(&endpoint(1)));
    paths.tunnelled(&entry(1, "pool"), ms(0));
    assert!(!paths.carry(&endpoint(1)));
    assert!(paths.carry(&endpoint(2)));
    assert_eq!(paths.carried(), 2);
}

/// Without a limit a few routers would carry the traffic of all.
#[test]
fn the_number_of_carried_tunnels_is_limited() {
    let mut paths = Paths::default();
    let accepted = (0..1_000).filter(|_| paths.carry(&endpoint(1))).count();
    assert!(accepted < 1_000);
    assert!(!paths.carry(&endpoint(1)));
    paths.carried_ended();
    assert!(paths.carry(&endpoint(1)));
}

/// If all routers asked were in a domain that is cut off, the request would fail though others reach the endpoint.
#[test]
fn helpers_are_in_more_than_one_domain() {
    for count in [3, 13, 104, 300] {
        let helpers = routers(count, 3);
        let paths = Paths::default();
        for draw in 0..50 {
            let own = DomainId::from("d0");
            let chosen = paths.helpers(&helpers, [&own, &own], draw, ms(0));
            let domain = |vm: &VmId| {
                helpers
                    .iter()
                    .find(|helper| helper.vm == *vm)
                    .map(|helper| &helper.domain)
            };
            let domains: BTreeSet<_> = chosen.iter().map(domain).collect();
            assert!(domains.len() > 1, "{count} routers: {chosen:?}");
        }
    }
}

/// A fleet in which some routers are cut off.
struct Load {
    routers: usize,
    domains: usize,
    cut: usize,
    requests: u64,
}

/// Requests of cut routers that found no path, and the most tunnels that one router was asked for.
fn play(load: &Load) -> (u64, usize) {
    const ENDPOINTS: usize = 9;
    let all = routers(load.routers, load.domains);
    // The first domains are cut whole.
    let mut order: Vec<usize> = (0..load.routers).collect();
    order.sort_by_key(|number| (number % load.domains, *number));
    let cut: BTreeSet<&VmId> = order[..load.cut].iter().map(|number| &all[*number].vm).collect();
    let mut states: BTreeMap<&VmId, Paths> = all.iter().map(|router| (&router.vm, Paths::default())).collect();
    let mut asked: BTreeMap<VmId, usize> = BTreeMap::new();
    let mut lost = 0;
    for request in 0..load.requests {
        let now = ms(request * 10);
        let number = order[request as usize % load.cut];
        let own = &all[number];
        let id = endpoint(request as usize * 7 % ENDPOINTS);
        let others: Vec<Helper> = all.iter().filter(|router| router.vm != own.vm).cloned().collect();
        let end = DomainId::from(format!("d{}", request as usize % load.domains));
        let draw = request.wrapping_mul(0x9e37_79b9_7f4a_7c15);
        let paths = states.get_mut(&own.vm).expect("a router");
        paths.plan(&id, now);
        let helpers = paths.helpers(&others, [&own.domain, &end], draw, now);
        let mut opened = false;
        for vm in helpers {
            *asked.entry(vm.clone()).or_default() += 1;
            let helper = states.get_mut(&vm).expect("a router");
            let reply = match (helper.carry(&id), cut.contains(&vm)) {
                (false, _) => HelperReply::Refused,
                (true, true) => HelperReply::Unreachable,
                (true, false) => HelperReply::Opened,
            };
            if reply != HelperReply::Refused {
                helper.carried_ended();
            }
            let paths = states.get_mut(&own.vm).expect("a router");
            paths.helper_replied(&vm, reply, now);
            if reply == HelperReply::Opened {
                paths.tunnelled(&entry(request as usize * 7 % ENDPOINTS, "pool"), now);
                opened = true;
                break;
            }
        }
        lost += u64::from(!opened);
    }
    (lost, asked.into_values().max().unwrap_or_default())
}

/// A cut that takes most of the routers leaves their clients without service unless helpers are found quickly.
#[test]
fn cut_routers_find_helpers() {
    let cases = [
        Load {
            routers: 13,
            domains: 3,
            cut: 8,
            requests: 900,
        },
        Load {
            routers: 13,
            domains: 3,
            cut: 3,
            requests: 900,
        },
        Load {
            routers: 104,
            domains: 4,
            cut: 52,
            requests: 4_000,
        },
        Load {
            routers: 300,
            domains: 4,
            cut: 75,
            requests: 9_000,
        },
    ];
    for load in cases {
        let (lost, most) = play(&load);
        let name = format!("{} of {} routers cut", load.cut, load.routers);
        assert!(lost * 10 <= load.requests, "{name}: {lost} of {} lost", load.requests);
        let even = load.requests as usize / (load.routers - load.cut);
        println!("{name}: {lost} lost, {most} requests at one router, {even} if spread evenly");
        assert!(most <= even * 4 + 20, "{name}: {most} at one router, {even} if even");
    }
}
