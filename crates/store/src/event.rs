//! What the state machine is told, and what it asks for.

use codes::Code;

use crate::{
    edit::Edit,
    id::ClusterId,
    members::{
        Member,
        Members, //
    },
    message::Message,
    outcome::Outcome,
    position::Position,
    publication::{
        Publication,
        Published, //
    },
    record::{
        Encoded,
        Record,
        Saved, //
    },
};

/// Names a request until it is answered.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Token(pub u64);

/// A change of the members, by one store.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub enum Change {
    /// Adds a store: first as a learner, and as a voter once it has caught up.
    Add(Member),
    /// Removes the store with that name.
    Remove(Box<str>),
}

/// What the state machine is told.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub enum Event {
    /// An operator changes the members.
    Change(Change, Token),
    /// An operator edits a section.
    Edit(Edit, Token),
    /// The first start of several stores at once; each is told of the same log and members.
    Found(ClusterId, Members),
    /// The first start, with this store alone.
    Init(ClusterId, Member),
    /// A store asks to be taken in; only the leader acts on it.
    Join(Member),
    /// A store, by its name, said in which data centre it stands.
    Locate(Box<str>, Box<str>),
    /// A message of another store.
    Message(Message),
    /// An operator publishes a document with its own version.
    Publish(Publication, Token),
    /// Someone reads and needs to know that nothing newer was acknowledged.
    Read(Token),
    /// All records up to the one of that entry are on disk.
    Synced(Position),
    /// Time has passed.
    Tick,
}

/// The answer to a request.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub enum Answer {
    /// The change of the members is committed.
    Changed,
    /// The ledger holds all that was acknowledged before the read began.
    Current,
    /// What became of the edit.
    Outcome(Outcome),
    /// What became of the publication.
    Published(Published),
    /// Why there is no outcome; the code says whether there may be one yet.
    Refused(Code, Box<str>),
}

/// What is to be done, in this order.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub enum Action {
    /// Answer a request.
    Answer(Token, Answer),
    /// Add a record to the log's file; synced before any later action leaves the process.
    Persist(Record),
    /// Replace all files; synced before any later action leaves the process.
    Replace(Box<Saved>),
    /// Send a message to another store.
    Send(Message),
}

impl Action {
    /// Replaces all files by a snapshot and what follows it.
    pub(crate) fn replace(saved: &Saved, snapshot: Encoded) -> Self {
        Self::Replace(Box::new(Saved {
            snapshot: Some(snapshot),
            ..saved.clone()
        }))
    }
}
