//! A naive store with compare-and-swap and faults, and a document to change.
#![allow(dead_code, missing_docs)]

use config::{Answer, Call, Next, OperatorKey, Outcome, Section, Stored, Submission};
use ids::{Digest, Version};
use rand::{Rng, RngExt};
use std::collections::BTreeMap;

pub const WRITERS: usize = 50;

#[derive(Default)]
pub struct Store {
    pub entries: BTreeMap<String, (Option<String>, u64)>,
    /// Every key and text ever written.
    pub history: Vec<(String, String)>,
    /// Writes still in transit, whose callers got no response.
    delayed: Vec<Call>,
    pub down: bool,
}

impl Store {
    pub fn read(&self, key: &str) -> Stored {
        let (text, version) = self.entries.get(key).cloned().unwrap_or_default();
        Stored {
            text,
            version: Version(version),
        }
    }

    pub fn apply(&mut self, call: &Call) -> Answer {
        let (key, text, expect) = match call {
            Call::Read(key) => return Answer::Found(self.read(key)),
            Call::Write { key, text, expect } => (key, text, expect),
        };
        let found = self.read(key);
        if found.version != *expect {
            return Answer::Found(found);
        }
        self.entries.insert(key.clone(), (Some(text.clone()), expect.0 + 1));
        self.history.push((key.clone(), text.clone()));
        Answer::Written
    }

    pub fn delete(&mut self, keys: Vec<String>) {
        for key in keys {
            if let Some((text, version)) = self.entries.get_mut(&key) {
                (*text, *version) = (None, *version + 1);
            }
        }
    }

    /// One call over a network that loses calls, loses responses, and delivers some calls much later.
    pub fn faulty(&mut self, call: &Call, random: &mut impl Rng) -> Answer {
        if random.random_ratio(1, 10) && !self.delayed.is_empty() {
            let place = random.random_range(0..self.delayed.len());
            let late = self.delayed.swap_remove(place);
            self.apply(&late);
        }
        if self.down {
            return Answer::Failed;
        }
        match random.random_range(0..20) {
            0 => Answer::Failed,
            1 | 2 => {
                self.apply(call);
                Answer::Failed
            }
            3 => {
                self.delayed.push(call.clone());
                Answer::Failed
            }
            _ => self.apply(call),
        }
    }
}

/// Runs a submission to its end without faults.
pub fn run(store: &mut Store, submission: Submission) -> Outcome {
    finish(store, submission).0
}

pub fn finish(store: &mut Store, mut submission: Submission) -> (Outcome, Submission) {
    let mut call = submission.call();
    for _ in 0..1000 {
        match submission.on(store.apply(&call)) {
            Next::Call(next) | Next::Retry(next) => call = next,
            Next::Done(outcome) => return (outcome, submission),
        }
    }
    panic!("no end after 1000 calls");
}

pub fn key(writer: usize) -> OperatorKey {
    OperatorKey::from(format!("key of {writer}"))
}

pub fn name(writer: usize) -> String {
    format!("writer-{writer}")
}

/// Operator 0 owns every section; each other writer owns one.
pub fn section_of(writer: usize) -> Section {
    [
        Section::Workspaces,
        Section::Models,
        Section::Services,
        Section::Priorities,
        Section::Endpoints,
    ][writer % 5]
}

pub fn document() -> String {
    let mut operators = serde_json::Map::new();
    for writer in 0..WRITERS {
        let sections = if writer == 0 {
            Section::ALL.to_vec()
        } else {
            vec![section_of(writer)]
        };
        let digest = key(writer).digest();
        operators.insert(name(writer), serde_json::json!({"key": digest, "sections": sections}));
    }
    serde_json::json!({
        "operators": operators,
        "workspaces": {"board": {"keys": [Digest::of(b"board")], "models": ["grain"], "services": ["fans"]}},
        "models": {"grain": {"versions": ["1", "2"], "wanted": "1"}},
        "services": {"fans": {"operations": [{"path": "/fans", "idempotent": false}]}},
        "priorities": {"advisory": {"rank": 0}},
        "endpoints": {
            "engine": {"address": "127.0.0.1:9000", "domain": "lahore", "role": {"model": "grain"}},
            "runner": {"address": "127.0.0.1:9001", "domain": "lahore", "role": {"service": "fans"}}
        }
    })
    .to_string()
}

/// A new entry for `section` that is consistent with the others.
pub fn entry(section: Section, number: usize) -> serde_json::Value {
    match section {
        Section::Operators => serde_json::json!({"key": Digest::of(&number.to_le_bytes()), "sections": []}),
        Section::Workspaces => serde_json::json!({"keys": [Digest::of(&number.to_le_bytes())]}),
        Section::Models => serde_json::json!({"versions": ["1"], "wanted": "1"}),
        Section::Services => serde_json::json!({"operations": []}),
        Section::Priorities => serde_json::json!({"rank": 5}),
        Section::Endpoints => serde_json::json!({
            "address": format!("127.0.0.1:{}", 10_000 + number), "domain": "lahore", "role": {"model": "grain"}
        }),
    }
}
