//! Fan commands under a key, and what must hold of each.

use super::{Answer, KEY, Plan, Site, bearer, call, fault, until};
use http::Method;
use std::cell::RefCell;
use std::net::SocketAddr;
use wire::service::Fault;

/// Body of a fan command.
pub const BODY: &str = "{\"run\": true}";
/// Path of an operation that may run once.
pub const FANS: &str = "/fans/12";

/// Three or fewer routers and two runners.
pub fn site(routers: usize) -> Site {
    let site = Site::start(&Plan {
        engines: vec![vec![]],
        services: vec![vec![], vec![]],
        routers,
    });
    // Each router takes its lease for claims with its first one.
    (0..routers).for_each(|router| assert_eq!(told(&fan(&site, router, &format!("warm-{router}"), "")), "ok"));
    site
}

/// A fan command under `key`; `attempt` is `first` or empty.
pub fn fan(site: &Site, router: usize, key: &str, attempt: &str) -> Option<Answer> {
    fan_at(site.routers[router].address, key, attempt)
}

/// The same, by the router's address.
pub fn fan_at(router: SocketAddr, key: &str, attempt: &str) -> Option<Answer> {
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

/// What the caller was told, in short.
pub fn told(answer: &Option<Answer>) -> String {
    match answer {
        None => "nothing".to_owned(),
        Some(answer) if answer.status.is_success() => "ok".to_owned(),
        Some(answer) => {
            let (code, ran) = answer.refusal();
            format!("{code} {ran}")
        }
    }
}

/// Sets a fault switch of all runners.
pub fn runners(site: &Site, switch: &Fault) {
    site.services.iter().for_each(|runner| fault(runner.address, switch));
}

/// Waits until the first router sends to a runner again; after a failure it leaves that one alone for a while.
pub fn in_service(site: &Site) {
    until("a runner is in service", || {
        told(&site.silo(0, "/probes", &[], "").ok()) == "ok"
    });
}

/// How often the key's call has run.
pub fn executions(site: &Site, key: &str) -> u64 {
    site.executions().by_key.get(key).copied().unwrap_or(0)
}

/// What must hold of one key, whatever happened: it ran at most once, a whole answer is the one answer of that run,
/// and whoever was told "not run" by an attempt that was the only one was told the truth.
pub fn check(site: &Site, key: &str, answers: &[Option<Answer>]) {
    let ran = executions(site, key);
    let all: Vec<String> = answers.iter().map(told).collect();
    assert!(ran <= 1, "{key} ran {ran} times: {all:?}");
    let whole: Vec<&Answer> = answers
        .iter()
        .flatten()
        .filter(|answer| answer.status.is_success())
        .collect();
    assert!(
        whole.iter().all(|answer| answer.body == whole[0].body),
        "{key}: {whole:?}"
    );
    assert!(
        whole.is_empty() || ran == 1,
        "{key} was answered and has not run: {all:?}"
    );
    let refused = all.iter().all(|told| told.ends_with("not_run"));
    assert!(!refused || ran == 0, "{key} ran once, and the callers read {all:?}");
}

/// Sends the key again at `router` until its call is no longer running and a runner is in service.
pub fn retry(site: &Site, router: usize, key: &str) -> Option<Answer> {
    let last = RefCell::new(None);
    until("the key's call has ended", || {
        let answer = fan(site, router, key, "");
        let told = told(&answer);
        last.replace(answer);
        !told.starts_with("in_progress") && !told.starts_with("no_endpoint")
    });
    last.into_inner()
}
