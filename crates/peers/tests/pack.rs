//! Values as they travel between routers.

use peers::{Follow, RelayItem, pack, unpack};
use quickcheck::quickcheck;
use std::fmt::Write;

/// Largest packed size of a document of 4,000 routes, bytes: a tenth of a second on a link of 10 Mbit/s.
const PACKED_BYTES: usize = 125_000;

quickcheck! {
    /// What one router packs another one reads.
    fn values_come_back_as_they_were(value: Vec<u8>) -> bool {
        let packed = pack(&value).expect("packed");
        unpack(&packed).expect("unpacked") == value
    }
}

/// As it lies in the store a document of thousands of routes takes a link of 10 Mbit/s for a second.
#[test]
fn a_document_of_thousands_of_routes_is_small() {
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
    assert!(pack(text.as_bytes()).expect("packed").len() < PACKED_BYTES);
}

/// Another router sends what can't be read: it is refused, and takes no more memory than a value may.
#[test]
fn what_is_not_packed_is_refused() {
    let huge = pack(&vec![0; 64 << 20]).expect("packed");
    for text in ["", "no base64!", "aGVsbG8=", &huge] {
        assert!(unpack(text).is_err(), "{text:.20}");
    }
}

/// In a rolling upgrade a router without packed values asks for, and sends, what it always did.
#[test]
fn messages_of_older_routers_are_understood() {
    let follow: Follow = serde_json::from_str(r#"{"after":7,"wait_ms":600}"#).expect("a question");
    assert!(!follow.unpacks);
    let item = r#"{"key":"documents/newest","value":"{}","revision":7,"created":1,"lease":0}"#;
    let item: RelayItem = serde_json::from_str(item).expect("an item");
    assert!(!item.packed);
}
