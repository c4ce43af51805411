//! Compression of values between routers, and compatibility with older routers.

use dispatch::fleet::{ShortKey, WorkKind};
use ids::Incarnation;
use peers::{
    BacklogMessage, Follow, LoadExchange, LoadMessage, RelayItem, ReportMessage, SpeedMessage, TotalsMessage,
    UsageMessage, pack, unpack,
};
use quickcheck::quickcheck;
use std::fmt::Write;

/// Maximum packed size of a document of 4,000 routes: a tenth of a second on a link of 10 Mbit/s.
const MAX_PACKED_BYTES: usize = 125_000;

quickcheck! {
    /// A value that one router packs must be the same after another router unpacks it.
    fn unpacking_restores_the_value(value: Vec<u8>) -> bool {
        let packed = pack(&value).expect("packed");
        unpack(&packed).expect("unpacked") == value
    }
}

/// Uncompressed, a document of thousands of routes occupies a link of 10 Mbit/s for a second.
#[test]
fn a_document_of_thousands_of_routes_packs_small() {
    let mut text = String::new();
    let mut random = 1_u64;
    for _ in 0..4_000 {
        random = random.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1);
        let (name, prefix) = (random >> 36, random >> 20 & 0xffff_ffff);
        write!(
            text,
            r#"{{"name":"r-{name:x}","host":"site.example","prefix":"/{prefix:x}/","kind":"idempotent","timeout":800}},"#
        )
        .expect("written");
    }
    assert!(pack(text.as_bytes()).expect("packed").len() < MAX_PACKED_BYTES);
}

/// Another router sends invalid or oversized packed values. They are rejected, and no more memory is allocated than the
/// limit of a value.
#[test]
fn invalid_packed_values_are_rejected() {
    let huge = pack(&vec![0; 64 << 20]).expect("packed");
    for text in ["", "no base64!", "aGVsbG8=", &huge] {
        assert!(unpack(text).is_err(), "{text:.20}");
    }
}

/// During a rolling upgrade, routers without support for packed values send messages without the newer fields.
#[test]
fn messages_of_older_routers_are_understood() {
    let follow: Follow = serde_json::from_str(r#"{"after":7,"wait_ms":600}"#).expect("a request");
    assert!(!follow.unpacks);
    let item = r#"{"key":"documents/newest","value":"{}","revision":7,"created":1,"lease":0}"#;
    let item: RelayItem = serde_json::from_str(item).expect("an item");
    assert!(!item.packed);
    let backlog: BacklogMessage = serde_json::from_str(r#"{"r":[[7,2.5,100]]}"#).expect("a backlog");
    assert!(backlog.leaving.is_empty() && backlog.kinds.is_empty() && backlog.rates.len() == 1);
    let report = r#"{"router":"vm-1","backlog":{},"u":[["grain",10.0,40.0]]}"#;
    let report: ReportMessage = serde_json::from_str(report).expect("a report");
    assert!(report.usage.len() == 1 && report.patient_usage.is_empty());
    let totals: TotalsMessage = serde_json::from_str(r#"{"backlog":{},"q":[["grain",-5.0,0.5]]}"#).expect("totals");
    assert!(totals.levels.len() == 1 && totals.demand.is_empty());
    assert_eq!(backlog.speeds, None);
    let exchange: LoadExchange = serde_json::from_str(r#"{"last_ms":9,"own":[[7,3,2,100]]}"#).expect("an exchange");
    assert_eq!((exchange.own[0].4, exchange.work_times), (None, None));
}

/// Older routers reject a whole report if a part that they know has a new element. They ignore unknown fields.
#[test]
fn use_by_class_does_not_change_what_older_routers_read() {
    let usage = |spent| vec![UsageMessage("grain".into(), spent, 40.0)];
    let report = ReportMessage {
        router: "vm-1".into(),
        backlog: BacklogMessage::default(),
        usage: usage(10.0),
        patient_usage: usage(5.0),
    };
    let text = serde_json::to_string(&report).expect("text");
    let known = r#"{"router":"vm-1","backlog":{},"u":[["grain",10.0,40.0]],"#;
    assert_eq!(text, format!(r#"{known}"p":[["grain",5.0,40.0]]}}"#));
}

/// Routers without support for work times accept exactly four values in a load report, and no unknown ones in its place.
#[test]
fn load_reports_have_a_fifth_value_only_with_a_work_time() {
    let load = |work_time| LoadMessage(ShortKey(7), 3, 2, 100, work_time);
    for (work_time, text) in [(None, "[7,3,2,100]"), (Some(250), "[7,3,2,100,250]")] {
        assert_eq!(serde_json::to_string(&load(work_time)).expect("text"), text);
        assert_eq!(
            serde_json::from_str::<LoadMessage>(text).expect("a report"),
            load(work_time)
        );
    }
}

/// The sums are sent once a second for each endpoint and kind of work, so a message has to fit into a link of 10 Mbit/s
/// many times.
#[test]
fn speeds_of_a_large_pool_are_small() {
    let kinds = [WorkKind::Prefill, WorkKind::Events];
    let speed = |at: u32| {
        let kind = kinds[at as usize % kinds.len()];
        let values = [1.1, 2.2, -3.3, 4.4, -5.5].map(|value| value * (1.0 + at as f32 / 7.0));
        SpeedMessage(ShortKey(u32::MAX - at), Incarnation(1_700_000_000_000), kind, values)
    };
    let backlog = BacklogMessage {
        speeds: Some((0..180).map(speed).collect()),
        ..BacklogMessage::default()
    };
    let text = serde_json::to_string(&backlog).expect("text");
    assert!(text.len() < 16_000, "{}", text.len());
    assert_eq!(
        serde_json::from_str::<BacklogMessage>(&text).expect("a backlog"),
        backlog
    );
}
