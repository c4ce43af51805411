//! Many keys under random faults, with real processes; the runners count what they execute.

mod support;

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::collections::BTreeMap;
use std::thread;
use std::time::Duration;
use support::single_run::{check, fan, fan_at, in_service, runners, site, told};
use support::{Answer, Site, fault, signal};
use wire::platform::Fault as PlatformFault;
use wire::service::{CutAt, Fault};

/// Faults of the short run; set `STORM_FAULTS` for a longer one.
const FAULTS: u64 = 60;
const CUTS: [CutAt; 5] = [
    CutAt::BeforeWork,
    CutAt::BeforeHead,
    CutAt::InHead,
    CutAt::AfterHead,
    CutAt::InBody,
];

/// Sets a random fault and gives the router that is to be struck meanwhile, with the signal.
fn trouble(site: &Site, random: &mut ChaCha8Rng) -> Option<(usize, &'static str)> {
    let platform = site.platform.address;
    match random.random_range(0..26) {
        0..8 => {
            let cut_at = Some(CUTS[random.random_range(0..CUTS.len())]);
            let cut = Some(random.random_range(1..3));
            runners(
                site,
                &Fault {
                    cut,
                    cut_at,
                    ..Fault::default()
                },
            );
        }
        8..10 => runners(
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

fn quiet(site: &Site) {
    let none = PlatformFault {
        down: Some(false),
        delay_ms: Some(0),
        lose_answers: Some(0),
        ..PlatformFault::default()
    };
    fault(site.platform.address, &none);
    runners(
        site,
        &Fault {
            cut: Some(0),
            cross_answers: Some(0),
            leaving: Some(false),
            ..Fault::default()
        },
    );
}

/// Up to three attempts at random routers, one after the other or at once, while one router is struck.
fn attempts(
    site: &mut Site,
    random: &mut ChaCha8Rng,
    key: &str,
    struck: Option<(usize, &'static str)>,
) -> Vec<Option<Answer>> {
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
    match struck {
        Some((router, "KILL")) => {
            signal(&site.routers[router], "KILL");
            site.routers[router] = site.start_router(router);
            site.until_ready(router);
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

// Callers try and try again at several routers while connections are cut, answers are crossed or lost, the platform is
// out or slow and routers die or stop. No fan may be switched twice, and each "not run" must be true.
#[test]
fn any_faults_run_nothing_twice() {
    let wanted = std::env::var("STORM_FAULTS")
        .ok()
        .and_then(|text| text.parse().ok())
        .unwrap_or(FAULTS);
    let mut site = site(3);
    runners(
        &site,
        &Fault {
            work_ms: Some(30),
            ..Fault::default()
        },
    );
    let mut random = ChaCha8Rng::seed_from_u64(5);
    let mut all = BTreeMap::<String, u64>::new();
    for number in 0..wanted {
        let key = format!("storm-{number}");
        in_service(&site);
        let struck = trouble(&site, &mut random);
        let mut answers = attempts(&mut site, &mut random, &key, struck);
        quiet(&site);
        // Before the next attempt: what was refused as not run has not run.
        check(&site, &key, &answers);
        answers.push(fan(&site, random.random_range(0..3), &key, ""));
        check(&site, &key, &answers);
        answers
            .iter()
            .for_each(|answer| *all.entry(told(answer)).or_default() += 1);
    }
    println!("{wanted} faults, callers were told {all:?}");
    assert!(
        all.contains_key("ok") && all.contains_key("endpoint_failed unknown"),
        "{all:?}"
    );
}
