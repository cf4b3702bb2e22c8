//! Conversions between the sections of the wire protocol and those of the configuration.

use configuration::{
    Change,
    Configuration,
    Text, //
};
use wire::{
    Delta,
    DocumentSnapshot,
    SectionText, //
};

/// Converts changed sections from the wire.
pub fn change_from_delta(from: Delta) -> Change {
    Change {
        changed: from.changed.into_iter().map(text_from_wire).collect(),
        complete: from.complete,
        removed: from.removed,
        revision: from.revision,
    }
}

/// Converts a whole document from the wire.
pub fn change_from_snapshot(from: DocumentSnapshot) -> Change {
    Change {
        changed: from.sections.into_iter().map(text_from_wire).collect(),
        complete: true,
        removed: Vec::new(),
        revision: from.revision,
    }
}

/// Converts the sections in force to the wire.
pub fn sections_to_wire(configuration: &Configuration) -> Vec<SectionText> {
    let texts = configuration.texts();
    texts
        .map(|text| SectionText {
            name: text.name.clone(),
            text: text.text.clone(),
            version: text.version,
        })
        .collect()
}

fn text_from_wire(from: SectionText) -> Text {
    Text {
        name: from.name,
        text: from.text,
        version: from.version,
    }
}
