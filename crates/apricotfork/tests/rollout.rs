//! Rollout of new weights to engines without failed requests.

mod support;

use config::{Change, ChangeId, HEAD_KEY, Head, OperatorKey, Section, UnixMillis, View, assemble, plan_change};
use ids::Version;
use serde_json::json;
use standins::process::Running;
use std::collections::BTreeMap;
use support::{OPERATOR_KEY, Plan, Site, get, metric, wait_until};
use wire::platform::Put;

/// Changes the target weights. The lease holder orders at most two engines at a time to load them, and never the last
/// serving engine: with two engines, both would otherwise load at once and none would serve.
fn check(engines: usize) {
    let slow_load = vec!["--load-ms", "300", "--report-lag-ms", "0", "--fenced"];
    let site = Site::start(&Plan {
        engines: vec![slow_load; engines],
        ..Plan::default()
    });
    set_target(&site, "w2");
    let body = json!({"model": "advisory", "prompt": "p", "max_tokens": 2});
    wait_until("all engines serve w2", || {
        let answer = site.complete("/v1/completions", &body);
        assert!(answer.status.is_success(), "{answer:?}");
        let served: Vec<Option<String>> = site.engines.iter().map(served_weights).collect();
        // Each engine loads only once, so engine 0 was loading throughout if it was loading before and after the others were
        // queried.
        let none = served.iter().all(Option::is_none) && served_weights(&site.engines[0]).is_none();
        assert!(!none, "no engine serves");
        served.iter().all(|weights| weights.as_deref() == Some("w2"))
    });
}

#[test]
fn target_weights_are_loaded_while_requests_are_served() {
    check(3);
}

#[test]
fn the_last_serving_engine_is_not_ordered_to_load() {
    check(2);
}

/// The lease holder dies, its order lease expires and its key is deleted. The platform still keeps the version of the
/// key. A successor that expected the version of a new key could not write it, and new weights would never be loaded.
#[test]
fn another_router_takes_the_order_lease_after_the_holder_died() {
    let mut site = Site::start(&Plan {
        routers: 2,
        engines: vec![vec![]; 3],
        ..Plan::default()
    });
    site.list_routers();
    let holds = |index: usize| {
        let fence = metric(&site.routers[index], "apricotfork_order_fence");
        fence.is_some_and(|fence| fence != "0")
    };
    wait_until("one router holds the lease", || holds(0) || holds(1));
    let holder = usize::from(holds(1));
    drop(site.routers.remove(holder));
    set_target(&site, "w2");
    wait_until("a successor holds the lease", || {
        let fence = metric(&site.routers[0], "apricotfork_order_fence");
        fence.is_some_and(|fence| fence != "0")
    });
    wait_until("all engines serve w2", || all_serve(&site, "w2"));
}

fn all_serve(site: &Site, weights: &str) -> bool {
    site.engines
        .iter()
        .all(|engine| served_weights(engine).as_deref() == Some(weights))
}

/// The weights that an engine serves. `None` while it loads.
fn served_weights(engine: &Running) -> Option<String> {
    let report = get(engine.address, "/v1/load").expect("a report");
    let load: wire::engine::Load = serde_json::from_slice(&report.body).expect("a report");
    load.weights.map(|weights| weights.to_string())
}

/// Changes the target weights in the section `models`, with the same writes as `apricotfork config set`.
fn set_target(site: &Site, weights: &str) {
    let platform = site.platform_client();
    async_std::task::block_on(async {
        let entry = platform.get(HEAD_KEY).await.expect("the platform").expect("a head");
        let head = Head::read(entry.value.as_deref().expect("a head")).expect("a head");
        let mut texts = BTreeMap::new();
        for section in Section::ALL {
            let found = platform
                .get(&head.sections[&section].key(section))
                .await
                .expect("the platform");
            texts.insert(section, found.and_then(|entry| entry.value).expect("a section"));
        }
        let document = assemble(&head, &texts).expect("a document");
        let log = platform
            .get(&head.audit_key())
            .await
            .expect("the platform")
            .and_then(|entry| entry.value);
        let log = serde_json::from_str(&log.expect("a log")).expect("a log");
        let before = head.sections[&Section::Models].digest;
        let view = View { head, document, log };
        let change = Change {
            id: ChangeId::from("second".to_owned()),
            operator: "ops".to_owned(),
            section: Section::Models,
            before,
            after: json!({"advisory": {"versions": ["w1", "w2"], "wanted": weights}}).to_string(),
        };
        let key = OperatorKey::from(OPERATOR_KEY.to_owned());
        let plan = plan_change(&view, &change, &key, UnixMillis(1)).expect("a plan");
        for value in plan.puts {
            let put = Put {
                key: value.key,
                value: Some(value.text),
                expect: Version(0),
                lease: None,
            };
            platform.put(&put).await.expect("the platform");
        }
        let put = Put {
            key: HEAD_KEY.to_owned(),
            value: Some(plan.head.text()),
            expect: entry.version,
            lease: None,
        };
        platform.put(&put).await.expect("the platform");
    });
}
