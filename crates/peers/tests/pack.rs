//! Compression of values between routers, and compatibility with older routers.

use peers::{BacklogMessage, Follow, RelayItem, pack, unpack};
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
}
