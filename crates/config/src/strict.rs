//! Parses JSON into a value and detects duplicate keys.
//!
//! `serde_json::Value` keeps the last of two equal keys. A workspace pasted twice would silently lose its first entry,
//! and its owner would notice only when requests are refused.

use crate::{Problem, ProblemKind};
use serde::de::{DeserializeSeed, Deserializer, MapAccess, SeqAccess, Visitor};
use serde_json::{Map, Value};
use std::{cell::RefCell, fmt};

/// Parses `text`; duplicate keys are added to `problems`.
pub(crate) fn read_value(text: &str, problems: &mut Vec<Problem>) -> Option<Value> {
    let found = RefCell::new(Vec::new());
    let seed = Seed {
        path: String::new(),
        found: &found,
    };
    let mut reader = serde_json::Deserializer::from_str(text);
    let value = seed
        .deserialize(&mut reader)
        .and_then(|value| reader.end().map(|()| value));
    match value {
        Ok(value) => {
            problems.extend(found.into_inner());
            Some(value)
        }
        Err(error) => {
            problems.push(Problem {
                path: ".".to_owned(),
                kind: ProblemKind::Syntax(error.to_string()),
            });
            None
        }
    }
}

/// Path of `key` below `path`.
pub(crate) fn child(path: &str, key: &str) -> String {
    if path.is_empty() {
        return key.to_owned();
    }
    format!("{path}.{key}")
}

struct Seed<'a> {
    path: String,
    found: &'a RefCell<Vec<Problem>>,
}

impl<'de> DeserializeSeed<'de> for Seed<'_> {
    type Value = Value;

    fn deserialize<D: Deserializer<'de>>(self, from: D) -> Result<Value, D::Error> {
        from.deserialize_any(self)
    }
}

impl<'de> Visitor<'de> for Seed<'_> {
    type Value = Value;

    fn expecting(&self, to: &mut fmt::Formatter<'_>) -> fmt::Result {
        to.write_str("JSON")
    }

    fn visit_bool<E>(self, value: bool) -> Result<Value, E> {
        Ok(value.into())
    }

    fn visit_i64<E>(self, value: i64) -> Result<Value, E> {
        Ok(value.into())
    }

    fn visit_u64<E>(self, value: u64) -> Result<Value, E> {
        Ok(value.into())
    }

    fn visit_f64<E>(self, value: f64) -> Result<Value, E> {
        Ok(value.into())
    }

    fn visit_str<E>(self, value: &str) -> Result<Value, E> {
        Ok(value.into())
    }

    fn visit_unit<E>(self) -> Result<Value, E> {
        Ok(Value::Null)
    }

    fn visit_seq<A: SeqAccess<'de>>(self, mut from: A) -> Result<Value, A::Error> {
        let mut items = Vec::new();
        loop {
            let path = format!("{}[{}]", self.path, items.len());
            let Some(item) = from.next_element_seed(Seed {
                path,
                found: self.found,
            })?
            else {
                return Ok(Value::Array(items));
            };
            items.push(item);
        }
    }

    fn visit_map<A: MapAccess<'de>>(self, mut from: A) -> Result<Value, A::Error> {
        let mut entries = Map::new();
        while let Some(key) = from.next_key::<String>()? {
            let path = child(&self.path, &key);
            let value = from.next_value_seed(Seed {
                path: path.clone(),
                found: self.found,
            })?;
            if entries.insert(key, value).is_some() {
                self.found.borrow_mut().push(Problem {
                    path,
                    kind: ProblemKind::DuplicateKey,
                });
            }
        }
        Ok(Value::Object(entries))
    }
}
