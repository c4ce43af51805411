//! Fan commands with an idempotency key, and checks of their outcome.

use super::{KEY, Plan, Response, Site, bearer, call, fault, wait_until};
use http::Method;
use std::cell::RefCell;
use std::net::SocketAddr;
use wire::service::Fault;

/// Body of a fan command.
pub const BODY: &str = "{\"run\": true}";
/// Path of an operation that must not run twice.
pub const FANS: &str = "/fans/12";

/// Starts a site with two runners and at most three routers.
pub fn site(routers: usize) -> Site {
    let site = Site::start(&Plan {
        engines: vec![vec![]],
        services: vec![vec![], vec![]],
        routers,
    });
    // Each router requests its claim lease with its first claim.
    (0..routers).for_each(|router| assert_eq!(outcome(&fan(&site, router, &format!("warm-{router}"), "")), "ok"));
    site
}

/// Sends a fan command with `key`; `attempt` is `first` or empty.
pub fn fan(site: &Site, router: usize, key: &str, attempt: &str) -> Option<Response> {
    fan_at(site.routers[router].address, key, attempt)
}

/// As [`fan`], for a router given by its address.
pub fn fan_at(router: SocketAddr, key: &str, attempt: &str) -> Option<Response> {
    let mut headers = vec![("authorization", bearer(KEY)), ("idempotency-key", key.to_owned())];
    headers.push(("apricotfork-deadline-ms", "20000".to_owned()));
    if !attempt.is_empty() {
        headers.push(("apricotfork-attempt", attempt.to_owned()));
    }
    call(
        router,
        Method::Post,
        &format!("/services/silo{FANS}"),
        &headers,
        BODY.as_bytes(),
    )
    .ok()
}

/// Summarizes a response: `nothing`, `ok`, or the fields `code` and `ran` of the error.
pub fn outcome(answer: &Option<Response>) -> String {
    match answer {
        None => "nothing".to_owned(),
        Some(answer) if answer.status.is_success() => "ok".to_owned(),
        Some(answer) => {
            let (code, ran) = answer.error_fields();
            format!("{code} {ran}")
        }
    }
}

/// Injects a fault into all runners.
pub fn inject_into_runners(site: &Site, injected: &Fault) {
    site.services.iter().for_each(|runner| fault(runner.address, injected));
}

/// Waits until router 0 uses a runner again. After a failure it avoids that runner for a while.
pub fn wait_until_in_service(site: &Site) {
    wait_until("a runner is in service", || {
        outcome(&site.silo(0, "/probes", &[], "").ok()) == "ok"
    });
}

/// Number of executions for a key.
pub fn executions(site: &Site, key: &str) -> u64 {
    site.executions().by_key.get(key).copied().unwrap_or(0)
}

/// Checks one key: its call ran at most once, all successful responses are equal and mean that it ran, and it did not
/// run if every response is `not_run`.
pub fn check_key(site: &Site, key: &str, answers: &[Option<Response>]) {
    let ran = executions(site, key);
    let all: Vec<String> = answers.iter().map(outcome).collect();
    assert!(ran <= 1, "{key} ran {ran} times: {all:?}");
    let successful: Vec<&Response> = answers
        .iter()
        .flatten()
        .filter(|answer| answer.status.is_success())
        .collect();
    assert!(
        successful.iter().all(|answer| answer.body == successful[0].body),
        "{key}: {successful:?}"
    );
    assert!(
        successful.is_empty() || ran == 1,
        "{key} was answered with success but has not run: {all:?}"
    );
    let refused = all.iter().all(|outcome| outcome.ends_with("not_run"));
    assert!(!refused || ran == 0, "{key} ran once, but the clients received {all:?}");
}

/// Repeats the command at `router` until its call is no longer running and a runner is in service.
pub fn retry(site: &Site, router: usize, key: &str) -> Option<Response> {
    let last = RefCell::new(None);
    wait_until("the key's call has ended", || {
        let answer = fan(site, router, key, "");
        let outcome = outcome(&answer);
        last.replace(answer);
        !outcome.starts_with("in_progress") && !outcome.starts_with("no_endpoint")
    });
    last.into_inner()
}
