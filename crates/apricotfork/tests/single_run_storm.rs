//! Many idempotency keys under random faults, with real processes. The runners count executions.

mod support;

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::collections::BTreeMap;
use std::thread;
use std::time::Duration;
use support::single_run::{check_key, fan, fan_at, inject_into_runners, outcome, site, wait_until_in_service};
use support::{Response, Site, fault, signal};
use wire::platform::Fault as PlatformFault;
use wire::service::{CutAt, Fault};

/// Default number of faults. The environment variable `STORM_FAULTS` overrides it.
const FAULTS: u64 = 60;
const CUTS: [CutAt; 5] = [
    CutAt::BeforeWork,
    CutAt::BeforeHead,
    CutAt::InHead,
    CutAt::AfterHead,
    CutAt::InBody,
];

/// Injects a random fault, or chooses a router and the signal that it gets during the attempts.
fn inject_fault(site: &Site, random: &mut ChaCha8Rng) -> Option<(usize, &'static str)> {
    let platform = site.platform.address;
    match random.random_range(0..26) {
        0..8 => {
            let cut_at = Some(CUTS[random.random_range(0..CUTS.len())]);
            let cut = Some(random.random_range(1..3));
            inject_into_runners(
                site,
                &Fault {
                    cut,
                    cut_at,
                    ..Fault::default()
                },
            );
        }
        8..10 => inject_into_runners(
            site,
            &Fault {
                cross_answers: Some(1),
                ..Fault::default()
            },
        ),
        10..16 => {
            let lose_answers = Some(random.random_range(1..5));
            fault(
                platform,
                &PlatformFault {
                    lose_answers,
                    ..PlatformFault::default()
                },
            );
        }
        16 => fault(
            platform,
            &PlatformFault {
                down: Some(true),
                ..PlatformFault::default()
            },
        ),
        17 => fault(
            platform,
            &PlatformFault {
                delay_ms: Some(600),
                ..PlatformFault::default()
            },
        ),
        18..20 => {
            let runner = site.services[random.random_range(0..2)].address;
            let leaving = Some(true);
            fault(
                runner,
                &Fault {
                    leaving,
                    ..Fault::default()
                },
            );
        }
        20..23 => return Some((random.random_range(0..3), "KILL")),
        _ => return Some((random.random_range(0..3), "STOP")),
    }
    None
}

fn clear_faults(site: &Site) {
    let none = PlatformFault {
        down: Some(false),
        delay_ms: Some(0),
        lose_answers: Some(0),
        ..PlatformFault::default()
    };
    fault(site.platform.address, &none);
    inject_into_runners(
        site,
        &Fault {
            cut: Some(0),
            cross_answers: Some(0),
            leaving: Some(false),
            ..Fault::default()
        },
    );
}

/// Sends up to three overlapping attempts to random routers, while one router may be killed or stopped.
fn send_attempts(
    site: &mut Site,
    random: &mut ChaCha8Rng,
    key: &str,
    interrupted: Option<(usize, &'static str)>,
) -> Vec<Option<Response>> {
    let count = random.random_range(1..4);
    let first = if count == 1 { "first" } else { "" };
    let calls: Vec<_> = (0..count)
        .map(|_| {
            let (to, name) = (site.routers[random.random_range(0..3)].address, key.to_owned());
            let call = thread::spawn(move || fan_at(to, &name, first));
            thread::sleep(Duration::from_millis(random.random_range(0..40)));
            call
        })
        .collect();
    match interrupted {
        Some((router, "KILL")) => {
            signal(&site.routers[router], "KILL");
            site.routers[router] = site.start_router(router);
            site.wait_until_ready(router);
        }
        Some((router, stop)) => {
            signal(&site.routers[router], stop);
            thread::sleep(Duration::from_millis(random.random_range(0..700)));
            signal(&site.routers[router], "CONT");
        }
        None => {}
    }
    calls.into_iter().map(|call| call.join().expect("no panic")).collect()
}

// Clients retry at several routers while connections break, responses are swapped or lost, the platform is unreachable
// or slow, and routers die or stop. No command may run twice, and each `not_run` must be true.
#[test]
fn no_command_runs_twice_under_random_faults() {
    let faults = std::env::var("STORM_FAULTS")
        .ok()
        .and_then(|text| text.parse().ok())
        .unwrap_or(FAULTS);
    let mut site = site(3);
    inject_into_runners(
        &site,
        &Fault {
            work_ms: Some(30),
            ..Fault::default()
        },
    );
    let mut random = ChaCha8Rng::seed_from_u64(5);
    let mut all = BTreeMap::<String, u64>::new();
    for number in 0..faults {
        let key = format!("storm-{number}");
        wait_until_in_service(&site);
        let interrupted = inject_fault(&site, &mut random);
        let mut answers = send_attempts(&mut site, &mut random, &key, interrupted);
        clear_faults(&site);
        // Checked before the next attempt, which could run the command and hide a false `not_run`.
        check_key(&site, &key, &answers);
        answers.push(fan(&site, random.random_range(0..3), &key, ""));
        check_key(&site, &key, &answers);
        answers
            .iter()
            .for_each(|answer| *all.entry(outcome(answer)).or_default() += 1);
    }
    println!("{faults} faults, outcomes {all:?}");
    assert!(
        all.contains_key("ok") && all.contains_key("endpoint_failed unknown"),
        "{all:?}"
    );
}
