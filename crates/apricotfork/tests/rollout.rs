//! New weights reach the engines by orders, and callers notice nothing.

mod support;

use config::{Change, ChangeId, HEAD_KEY, Head, OperatorKey, Section, UnixMillis, View, assemble, plan_change};
use ids::Version;
use serde_json::json;
use std::collections::BTreeMap;
use support::{OPERATOR_KEY, Plan, Site, get, until};
use wire::platform::Put;

/// Operators want other weights. The engines are ordered to load them, at most two at once and never the last that
/// serves. Without the order holder nothing would load; without the care for the last runner callers would be refused
/// while all engines load.
#[test]
fn wanted_weights_are_loaded_while_callers_are_served() {
    let slow_load = || vec!["--load-ms", "300", "--fenced"];
    let site = Site::start(&Plan {
        engines: vec![slow_load(), slow_load(), slow_load()],
        ..Plan::default()
    });
    want(&site, "w2");
    let body = json!({"model": "advisory", "prompt": "p", "max_tokens": 2});
    until("all engines serve w2", || {
        let answer = site.complete("/v1/completions", &body);
        assert!(answer.status.is_success(), "{answer:?}");
        site.engines.iter().all(|engine| {
            let report = get(engine.address, "/v1/load").expect("a report");
            let load: wire::engine::Load = serde_json::from_slice(&report.body).expect("a report");
            load.weights.is_some_and(|weights| weights.as_str() == "w2")
        })
    });
}

/// Changes the section of models as the operators' command does.
fn want(site: &Site, weights: &str) {
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
