//! The list of sections and their stored text.

use crate::{Document, Section};
use serde::Serialize;

impl Section {
    /// All sections, in the order of the document.
    pub const ALL: [Self; 6] = [
        Self::Operators,
        Self::Workspaces,
        Self::Models,
        Self::Services,
        Self::Priorities,
        Self::Endpoints,
    ];
}

/// The text under which a section is stored: JSON with sorted keys and all defaults written out, so that equal
/// content has an equal digest.
pub fn section_text(document: &Document, section: Section) -> String {
    match section {
        Section::Operators => text(&document.operators),
        Section::Workspaces => text(&document.workspaces),
        Section::Models => text(&document.models),
        Section::Services => text(&document.services),
        Section::Priorities => text(&document.priorities),
        Section::Endpoints => text(&document.endpoints),
    }
}

fn text<T: Serialize>(part: &T) -> String {
    serde_json::to_string(part).expect("maps with text keys are always JSON")
}
