//! One write of the lease holder is lost by the store and carried out late, after newer ones. Then all routers are killed at the
//! same moment and start again. No runner may get orders of two machines within `lease_ms`.
//!
//! Arguments: a temporary folder, the file for the record. Exit codes: 0 held, 1 broken, 2 could not run.

use review_bed_2::engine::{self, MODEL, Order};
use review_bed_2::{record::Record, router::Router, store::Store, store::decode};
use serde_json::{Value, json};
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::sync::{Arc, Mutex};
use std::thread::sleep;
use std::time::{Duration, Instant};

/// `lease_ms` of the site.
const LEASE: Duration = Duration::from_millis(3_000);
/// Routers, two in each of three zones.
const ROUTERS: usize = 6;
/// The delay after which a killed process is started again, as the bench has it.
const RESTART_DELAY: Duration = Duration::from_millis(500);
/// The largest share of writes that `platform_lost` loses on the site.
const LARGEST: f64 = 0.35;
/// How late a lost write may be done.
const LATE: std::ops::RangeInclusive<f64> = 1.0..=6.0;
/// The longest time for which the site's `platform_lost` lasts.
const WINDOW: f64 = 4.5;
const HOLDER: &str = "apricotfork/holder";
const LOAD_LIST: &str = "apricotfork/holding";

fn start(folder: &Path, store: &Store, bootstrap: bool) -> Vec<Router> {
    let start = |index: usize| {
        let (name, zone) = (format!("front-{index}"), format!("zone-{}", ["a", "b", "c"][index / 2]));
        Router::start_in(folder, &name, &zone, store, bootstrap)
    };
    (0..ROUTERS).map(start).collect()
}

/// Whether this transaction writes a load list with an endpoint that is to load.
fn begins_loads(transaction: &Value) -> bool {
    let mut rows = transaction["set_keys"].as_array().into_iter().flatten();
    rows.any(|row| {
        let list: Value = serde_json::from_str(&decode(row["value"].as_str().unwrap_or_default())).unwrap_or_default();
        row["key"] == LOAD_LIST && list["loading"].as_array().is_some_and(|loading| !loading.is_empty())
    })
}

/// Waits until the condition holds, 15 s at most.
fn until(holds: impl Fn() -> bool) -> bool {
    let end = Instant::now() + Duration::from_secs(15);
    while !holds() {
        if Instant::now() >= end {
            return false;
        }
        sleep(Duration::from_millis(2));
    }
    true
}

/// The machine of a holder's name.
fn machine(holder: &str) -> &str {
    holder.split('/').next().unwrap_or_default()
}

fn name_version(store: &Store, record: &Record, version: u64) {
    store.put(
        &format!("op/version/{MODEL}"),
        &json!({"model": MODEL, "version": version}),
    );
    record.line(&format!("operator names version {version}, acknowledged"));
}

fn main() -> ExitCode {
    let mut arguments = std::env::args().skip(1).map(PathBuf::from);
    let (Some(folder), Some(file)) = (arguments.next(), arguments.next()) else {
        return ExitCode::from(2);
    };
    play(&folder, &file).unwrap_or(ExitCode::from(2))
}

fn play(folder: &Path, file: &Path) -> Option<ExitCode> {
    let trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    let record = Record::create(file);
    let store = Store::start();
    store.put(
        "op/config",
        &json!({"version": 3,
            "routes": [{"name": "ask", "host": "site.example", "path_prefix": "/ask/", "kind": "stream", "backend": "advice",
                "timeout_ms": 4000, "goal_ms": 400, "prio": 1, "attempts": 1, "public": false, "sticky": true}],
            "services": [{"name": "advice", "health_path": "/healthz", "max_conns": 720}],
            "limits": {"max_header_bytes": 8192, "max_body_bytes": 200_000, "header_timeout_ms": 2000, "idle_timeout_ms": 9000},
            "tenants": [{"name": "grain", "api_keys": ["key-one"], "prio": 1}]}),
    );
    let orders: Arc<Mutex<Vec<Order>>> = Arc::default();
    for id in ["i-1", "i-2"] {
        engine::start(id, &store, &record, &orders);
    }
    let routers = start(folder, &store, true);
    let is_up = routers
        .iter()
        .all(|router| router.is_ready_within(Duration::from_secs(15)));
    if !is_up || !until(|| store.value(HOLDER).is_some()) {
        record.line("script: the routers did not get ready");
        return None;
    }
    sleep(Duration::from_secs(2));
    let (began, writes) = (Instant::now(), store.writes());
    if trouble {
        store.lose_next(begins_loads);
    }
    name_version(&store, &record, 2);
    if trouble && !until(|| store.has_lost()) {
        return None;
    }
    let lost = Instant::now();
    // The holder orders one runner after the other, since there are two.
    if !until(|| orders.lock().expect("orders").len() == 2) {
        record.line("script: the runners did not get their first orders");
        return None;
    }
    if trouble {
        let written = store.writes() - writes;
        let (share, late) = (1.0 / written as f64, lost.elapsed().as_secs_f64());
        record.line(&format!(
            "dose: 1 of {written} writes in {:.1} s got no answer",
            began.elapsed().as_secs_f64()
        ));
        if share > LARGEST || !LATE.contains(&late) || began.elapsed().as_secs_f64() > WINDOW {
            record.line("script: the dose is beyond the site's");
            return None;
        }
        let status = store.carry_out_lost()?;
        record.line(&format!("store: carries out the lost write {late:.1} s late: {status}"));
    }
    let list = store.value(LOAD_LIST).map(|value| decode(&value)).unwrap_or_default();
    record.line(&format!("store: the load list is {list}"));
    name_version(&store, &record, 3);
    drop(routers);
    record.line("platform: all processes are killed");
    sleep(RESTART_DELAY);
    let _routers = start(folder, &store, false);
    record.line("platform: they start again");
    let is_over = || {
        let orders = orders.lock().expect("orders");
        orders.iter().filter(|order| order.version == 3).count() >= 2
    };
    if !until(is_over) {
        record.line("script: the runners did not get orders of version 3");
        return None;
    }
    let orders = orders.lock().expect("orders").clone();
    let mut broken = 0;
    for (index, order) in orders.iter().enumerate() {
        let before = orders[..index]
            .iter()
            .rev()
            .find(|before| before.runner == order.runner);
        let Some(before) = before.filter(|before| machine(&before.holder) != machine(&order.holder)) else {
            continue;
        };
        let gap = order.at - before.at;
        let is_broken = gap < LEASE;
        broken += u32::from(is_broken);
        let line = format!(
            "runner {}: order of {} {:.3} s after one of {}{}",
            order.runner,
            machine(&order.holder),
            gap.as_secs_f64(),
            machine(&before.holder),
            if is_broken { ", less than lease_ms" } else { "" }
        );
        record.line(&line);
        println!("{line}");
    }
    Some(ExitCode::from(u8::from(broken > 0)))
}
