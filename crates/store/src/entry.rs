//! The log's entries.

use serde::{
    Deserialize,
    Serialize, //
};

use crate::{
    edit::Edit,
    members::Members,
    position::Position,
    publication::Publication, //
};

/// What an entry does once it is committed.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
#[derive(Deserialize, Serialize)]
pub enum Payload {
    /// Nothing; a new leader's first entry.
    Blank,
    /// Changes a section.
    Edit(Edit),
    /// Names the stores; in effect as soon as a store has it.
    Members(Members),
    /// Puts a document with its own version in force.
    Publish(Publication),
}

/// One entry.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct Entry {
    /// What it does.
    pub payload: Payload,
    /// Where it stands.
    pub position: Position,
}

/// Size of an entry without its texts, in bytes.
const ENTRY_BYTES: usize = 128;

impl Entry {
    /// The entry's approximate size, in bytes.
    pub fn weight(&self) -> usize {
        match &self.payload {
            Payload::Blank => ENTRY_BYTES,
            Payload::Edit(edit) => ENTRY_BYTES + edit.section.len() + edit.text.len(),
            Payload::Members(members) => ENTRY_BYTES * (1 + members.0.len()),
            Payload::Publish(publication) => ENTRY_BYTES + publication.bytes.len(),
        }
    }
}
