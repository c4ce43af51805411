//! Choice of an engine in a large pool.

mod support;

use dispatch::fleet::{Choice, Fleet, LoadReport, PickContext};
use dispatch::site::EndpointEntry;
use ids::EndpointId;
use std::time::Duration;
use support::fleet::{at, context, entry, fleet, prompt, serve, service};

fn pool(engines: usize) -> Fleet {
    let entries = (0..engines).map(|at| EndpointEntry {
        slots: 64,
        ..entry(&format!("e{at}"), 1)
    });
    fleet(&entries.collect::<Vec<_>>())
}

fn choose(fleet: &mut Fleet, context: &PickContext<'_>, now: Duration) -> EndpointId {
    let Choice::Endpoint(picked) = fleet.choose(context, now.as_millis() as u64, now) else {
        panic!("no endpoint");
    };
    picked.endpoint.id.clone()
}

fn report(fleet: &mut Fleet, id: &EndpointId, running: u32, waiting: u32, now: Duration) {
    fleet.record_load(id, LoadReport { running, waiting }, now);
}

/// Gives one prefix a small share of the load. Alone, it would have homes at all engines.
fn serve_other_prefixes(fleet: &mut Fleet) {
    for session in 100..400 {
        serve(fleet, &prompt(session, 9), session, at(50));
    }
}

/// An engine with cached prefixes keeps getting requests although all of its slots are in use, and they wait for
/// seconds.
#[test]
fn requests_leave_an_engine_whose_slots_are_in_use() {
    struct Case {
        name: &'static str,
        running: u32,
        waiting: u32,
        stays: bool,
    }
    let cases = [
        Case {
            name: "free slots",
            running: 40,
            waiting: 0,
            stays: true,
        },
        Case {
            name: "requests wait for slots",
            running: 64,
            waiting: 2,
            stays: false,
        },
    ];
    for case in cases {
        let mut fleet = pool(16);
        let service = service();
        let long = prompt(7, 8);
        let context = context(&service, Some(&long));
        serve_other_prefixes(&mut fleet);
        let home = choose(&mut fleet, &context, at(100));
        for other in 0..16 {
            report(
                &mut fleet,
                &EndpointId::from(format!("e{other}").as_str()),
                40,
                0,
                at(100),
            );
        }
        report(&mut fleet, &home, case.running, case.waiting, at(101));
        let used = choose(&mut fleet, &context, at(101));
        assert_eq!(used == home, case.stays, "{}", case.name);
    }
}
