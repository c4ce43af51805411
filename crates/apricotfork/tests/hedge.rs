//! A slow engine beside one whose response is of no use.

mod support;

use serde_json::json;
use support::{Plan, Site, fault, get};

/// The preferred engine is slow. The hedge's engine sends a response that belongs to another request, and the slow one answers
/// later. The slow one must not be cancelled for that.
#[test]
fn a_hedge_without_a_usable_answer_does_not_end_the_first_attempt() {
    let slow = || vec!["--decode-ms", "20"];
    let site = Site::start(&Plan {
        engines: vec![slow(), slow()],
        ..Plan::default()
    });
    let body = json!({"model": "advisory", "prompt": "wheat ".repeat(2000), "max_tokens": 40});
    for engine in &site.engines {
        fault(
            engine.address,
            &wire::engine::Fault {
                slow_percent: Some(10),
                ..Default::default()
            },
        );
    }
    let answer = site.complete("/v1/completions", &body);
    let first = site.engines.iter().position(|engine| {
        get(engine.address, &format!("/v1/sent?request={}", answer.request)).is_ok_and(|sent| sent.status.is_success())
    });
    for (index, engine) in site.engines.iter().enumerate() {
        if Some(index) != first {
            fault(
                engine.address,
                &wire::engine::Fault {
                    slow_percent: Some(10),
                    cross_answers: Some(9),
                    ..Default::default()
                },
            );
        } else {
            fault(
                engine.address,
                &wire::engine::Fault {
                    slow_percent: Some(400),
                    ..Default::default()
                },
            );
        }
    }
    let body = json!({"model": "advisory", "prompt": "wheat ".repeat(2000) + "now", "max_tokens": 40});
    let answer = site.complete("/v1/completions", &body);
    assert!(answer.status.is_success(), "{answer:?}");
}
