//! A router's copy of the service's items and recent removals, from which it serves followers.

use super::{Change, Item, Position};
use std::collections::BTreeMap;

/// Maximum number of revisions with removals that are kept. A follower that is further behind gets all items.
const MAX_REMOVALS: usize = 1_000;

/// The items as of a position, with the removals before it.
#[derive(Debug, Clone, Default)]
pub struct ItemLog {
    /// Position up to which the log is complete; `None` before the first read.
    position: Option<Position>,
    /// Removals after this revision are complete.
    floor: u64,
    items: BTreeMap<String, Item>,
    removed: BTreeMap<u64, Vec<String>>,
}

/// The changes after a position.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct ItemDelta {
    /// Position up to which this is complete.
    pub position: Option<Position>,
    /// Whether `items` holds all items; otherwise it holds only the changed ones.
    pub whole: bool,
    /// All or the changed items, see `whole`.
    pub items: Vec<Item>,
    /// Removed keys.
    pub removed: Vec<String>,
}

impl ItemLog {
    /// Position up to which the log is complete; `None` before the first read.
    pub fn position(&self) -> Option<Position> {
        self.position
    }

    /// Items under a prefix.
    pub fn with_prefix<'a>(&'a self, prefix: &'a str) -> impl Iterator<Item = &'a Item> {
        let start = self.items.range(prefix.to_owned()..);
        start
            .map(|(_, item)| item)
            .take_while(move |item| item.key.starts_with(prefix))
    }

    /// Replaces all items with those as of a position and discards the removals. Followers at earlier positions get all
    /// items.
    pub fn replace(&mut self, items: &[Item], position: Position) {
        self.items = items.iter().map(|item| (item.key.clone(), item.clone())).collect();
        self.removed.clear();
        self.floor = position.revision;
        self.position = Some(position);
    }

    /// Applies the changes up to a position of the same era.
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
        while self.removed.len() > MAX_REMOVALS {
            if let Some((oldest, _)) = self.removed.pop_first() {
                self.floor = self.floor.max(oldest);
            }
        }
    }

    /// Whether the log is ahead of a position.
    pub fn has_changes(&self, after: Option<Position>) -> bool {
        self.position > after
    }

    /// The changes after a position. All items if the position has another era or is older than the kept removals.
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
        let changed = self.items.values().filter(|item| item.revision > after);
        let removed = self.removed.range(after + 1..).flat_map(|(_, keys)| keys);
        let removed = removed.filter(|key| !self.items.contains_key(*key));
        ItemDelta {
            position: self.position,
            whole: false,
            items: changed.cloned().collect(),
            removed: removed.cloned().collect(),
        }
    }
}
