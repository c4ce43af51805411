//! What a router knows of the service, for those that follow it: the items, and what changed after a revision.

use super::{Change, Item, Position};
use std::collections::BTreeMap;

/// Removed keys that are remembered; whoever is further behind gets everything.
const REMOVALS: usize = 1_000;

/// The items as of a revision, with the removals that led there.
#[derive(Debug, Clone, Default)]
pub struct ItemLog {
    /// Position up to which all is known.
    position: Option<Position>,
    /// Removals are known after this revision.
    floor: u64,
    items: BTreeMap<String, Item>,
    removed: BTreeMap<u64, Vec<String>>,
}

/// What came after a position.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct ItemDelta {
    /// Position up to which this is complete.
    pub position: Option<Position>,
    /// Whether `items` is all there is.
    pub whole: bool,
    /// Items.
    pub items: Vec<Item>,
    /// Keys that have gone.
    pub removed: Vec<String>,
}

impl ItemLog {
    /// Position up to which all is known.
    pub fn position(&self) -> Option<Position> {
        self.position
    }

    /// Items under a prefix.
    pub fn with_prefix<'a>(&'a self, prefix: &'a str) -> impl Iterator<Item = &'a Item> {
        let from = self.items.range(prefix.to_owned()..);
        from.map(|(_, item)| item)
            .take_while(move |item| item.key.starts_with(prefix))
    }

    /// Everything as of a position. What was known of removals doesn't matter any more.
    pub fn replace(&mut self, items: &[Item], position: Position) {
        self.items = items.iter().map(|item| (item.key.clone(), item.clone())).collect();
        self.removed.clear();
        self.floor = position.revision;
        self.position = Some(position);
    }

    /// Changes up to a position of the same era.
    pub fn apply(&mut self, changes: &[Change], position: Position) {
        for change in changes {
            match change {
                Change::Written(item) => {
                    self.items.insert(item.key.clone(), item.clone());
                }
                Change::Removed { key, revision } => {
                    self.items.remove(key);
                    self.removed.entry(*revision).or_default().push(key.clone());
                }
            }
        }
        self.position = self.position.max(Some(position));
        while self.removed.len() > REMOVALS {
            if let Some((oldest, _)) = self.removed.pop_first() {
                self.floor = self.floor.max(oldest);
            }
        }
    }

    /// Whether anything came after a position.
    pub fn has_changes(&self, after: Option<Position>) -> bool {
        self.position > after
    }

    /// What came after a position.
    pub fn since(&self, after: Option<Position>) -> ItemDelta {
        let era = self.position.map(|position| position.era);
        let after = after.filter(|after| Some(after.era) == era && after.revision >= self.floor);
        let Some(Position { revision: after, .. }) = after else {
            return ItemDelta {
                position: self.position,
                whole: true,
                items: self.items.values().cloned().collect(),
                removed: Vec::new(),
            };
        };
        let newer = self.items.values().filter(|item| item.revision > after);
        let gone = self.removed.range(after + 1..).flat_map(|(_, keys)| keys);
        let gone = gone.filter(|key| !self.items.contains_key(*key));
        ItemDelta {
            position: self.position,
            whole: false,
            items: newer.cloned().collect(),
            removed: gone.cloned().collect(),
        }
    }
}
