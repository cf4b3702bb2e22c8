//! Log entries.

use serde::{
    Deserialize,
    Serialize, //
};

use crate::{
    edit::Edit,
    evacuation::Evacuation,
    members::Members,
    position::Position,
    publication::Publication, //
};

/// The command of an entry, applied once the entry is committed.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
#[derive(Deserialize, Serialize)]
pub enum Payload {
    /// No command; the first entry of a new leader.
    Blank,
    /// Changes a section.
    Edit(Edit),
    /// Replaces the membership; in effect on each store as soon as it is appended there.
    Members(Members),
    /// Puts a document with its own version in force.
    Publish(Publication),
    /// Starts or ends the evacuation of a data centre.
    Evacuate(Evacuation),
}

/// An entry of the log.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct Entry {
    /// Command of the entry.
    pub payload: Payload,
    /// Term and index of the entry.
    pub position: Position,
}

/// Approximate size of an entry without its variable-length parts, in bytes.
const ENTRY_BYTES: usize = 128;

impl Entry {
    /// Approximate size of the entry, in bytes.
    pub fn size(&self) -> usize {
        match &self.payload {
            Payload::Blank => ENTRY_BYTES,
            Payload::Edit(edit) => ENTRY_BYTES + edit.section.len() + edit.text.len(),
            Payload::Evacuate(evacuation) => ENTRY_BYTES + evacuation.centre.len(),
            Payload::Members(members) => ENTRY_BYTES * (1 + members.0.len()),
            Payload::Publish(publication) => ENTRY_BYTES + publication.bytes.len(),
        }
    }
}
