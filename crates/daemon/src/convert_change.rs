//! Conversions between the inner protocol's sections and the configuration's own.

use configuration::{
    Change,
    Configuration,
    Text, //
};
use wire::{
    Delta,
    SectionText,
    Update, //
};

/// What changed, as the configuration takes it.
pub fn delta(from: Delta) -> Change {
    Change {
        changed: from.changed.into_iter().map(text).collect(),
        complete: from.complete,
        removed: from.removed,
        revision: from.revision,
    }
}

/// A whole document, as the configuration takes it.
pub fn update(from: Update) -> Change {
    Change {
        changed: from.sections.into_iter().map(text).collect(),
        complete: true,
        removed: Vec::new(),
        revision: from.revision,
    }
}

/// The sections in force, as they are answered.
pub fn texts(configuration: &Configuration) -> Vec<SectionText> {
    let texts = configuration.texts();
    texts
        .map(|text| SectionText {
            name: text.name.clone(),
            text: text.text.clone(),
            version: text.version,
        })
        .collect()
}

fn text(from: SectionText) -> Text {
    Text {
        name: from.name,
        text: from.text,
        version: from.version,
    }
}
