//! Differences between two JSON texts, for display.

use crate::strict::child;
use serde_json::Value;
use std::collections::BTreeSet;

/// One difference.
#[derive(Debug, Clone, PartialEq)]
pub struct Difference {
    /// JSON path from the root of the compared values.
    pub path: String,
    /// The old value.
    pub before: Option<Value>,
    /// The new value.
    pub after: Option<Value>,
}

/// All differences, outermost keys in order; lists are compared as a whole.
pub fn diff(before: &Value, after: &Value) -> Vec<Difference> {
    let mut found = Vec::new();
    compare("", Some(before), Some(after), &mut found);
    found
}

fn compare(path: &str, before: Option<&Value>, after: Option<&Value>, found: &mut Vec<Difference>) {
    if before == after {
        return;
    }
    let (Some(Value::Object(old)), Some(Value::Object(new))) = (before, after) else {
        found.push(Difference {
            path: path.to_owned(),
            before: before.cloned(),
            after: after.cloned(),
        });
        return;
    };
    let keys: BTreeSet<&String> = old.keys().chain(new.keys()).collect();
    for key in keys {
        compare(&child(path, key), old.get(key), new.get(key), found);
    }
}
