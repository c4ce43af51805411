//! Endpoints that lose power together, seen by many routers that each send few requests.

mod support;

use dispatch::fleet::{BacklogSource, Fleet, Outcome};
use ids::{EndpointId, VmId};
use std::time::Duration;
use support::fleet::{at, pool, send};

const ROUTERS: usize = 26;
const ENDPOINTS: usize = 90;
/// Every fourth endpoint loses power.
const DARK: usize = 4;
/// Requests that arrive in six seconds, at one router after the other.
const REQUESTS: u64 = 1_400;
const INTERVAL_MS: u64 = 4;
/// Time until a connection to an endpoint without power is given up.
const CONNECT_MS: u64 = 400;
/// Interval between reports of a router.
const REPORT_MS: u64 = 100;

/// Number of requests whose first attempt goes to an endpoint without power.
fn lost_attempts(reports: bool) -> u64 {
    let mut routers: Vec<Fleet> = (0..ROUTERS).map(|_| pool(&[1; ENDPOINTS])).collect();
    let mut failures: Vec<(u64, usize, EndpointId)> = Vec::new();
    let mut lost = 0;
    for request in 0..REQUESTS {
        let now = request * INTERVAL_MS;
        for (_, router, id) in failures.extract_if(.., |(due, _, _)| *due <= now) {
            routers[router].record_outcome(&id, Outcome::ConnectFailed, at(now));
        }
        if reports && now.is_multiple_of(REPORT_MS) {
            exchange(&mut routers, at(now));
        }
        let router = request as usize % ROUTERS;
        let Some(id) = send(
            &mut routers[router],
            None,
            &[],
            request.wrapping_mul(0x9e37_79b9_7f4a_7c15),
            at(now),
        ) else {
            continue;
        };
        let number: usize = id[1..].parse().expect("a number");
        if number.is_multiple_of(DARK) {
            lost += 1;
            failures.push((now + CONNECT_MS, router, EndpointId::from(id)));
        }
    }
    lost
}

fn exchange(routers: &mut [Fleet], now: Duration) {
    let reports: Vec<_> = routers.iter().map(|fleet| fleet.own_backlog(now)).collect();
    for (to, fleet) in routers.iter_mut().enumerate() {
        for (from, report) in reports.iter().enumerate().filter(|(from, _)| *from != to) {
            let source = BacklogSource::Follower(VmId::from(format!("router-{from}")));
            fleet.update_backlog(source, report.clone(), now);
        }
    }
}

/// Each router loses a request's time at each endpoint that lost power.
#[test]
fn endpoints_that_peers_cannot_reach_are_avoided() {
    let (alone, together) = (lost_attempts(false), lost_attempts(true));
    assert!(
        together * 2 < alone,
        "{together} lost attempts with reports, {alone} without"
    );
}

/// A router whose own link is at fault makes its peers avoid healthy endpoints.
#[test]
fn one_reporter_does_not_make_an_endpoint_unreachable() {
    let mut faulty = pool(&[1, 1]);
    faulty.record_outcome(&EndpointId::from("e0"), Outcome::ConnectFailed, at(0));
    struct Case {
        reporters: u64,
        expected: bool,
    }
    let cases = [
        Case {
            reporters: 1,
            expected: true,
        },
        Case {
            reporters: 2,
            expected: false,
        },
    ];
    for Case { reporters, expected } in cases {
        let mut fleet = pool(&[1, 1]);
        for reporter in 0..reporters {
            let source = BacklogSource::Follower(VmId::from(format!("router-{reporter}")));
            fleet.update_backlog(source, faulty.own_backlog(at(10)), at(10));
        }
        let mut draws = (0..8).filter_map(|draw| send(&mut fleet, None, &[], draw, at(20)));
        assert_eq!(draws.any(|id| id == "e0"), expected, "{reporters} reporters");
    }
}
