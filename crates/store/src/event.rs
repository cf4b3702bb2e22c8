//! Input and output of the state machine: events and actions.

use codes::Code;

use crate::{
    edit::Edit,
    evacuation::Evacuation,
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
        EncodedSnapshot,
        Record,
        Saved, //
    },
    version::Revision,
};

/// Identifies a pending request.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Token(pub u64);

/// A membership change of one store.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub enum Change {
    /// Adds a store as a learner, which becomes a voter once it has caught up.
    Add(Member),
    /// Removes the store with this name.
    Remove(Box<str>),
}

/// An input of the state machine.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub enum Event {
    /// An operator changes the membership.
    Change(Change, Token),
    /// An operator edits a section.
    Edit(Edit, Token),
    /// An operator starts or ends the evacuation of a data centre.
    Evacuate(Evacuation, Token),
    /// Forms a cluster of several stores; each one gets the same cluster id and members.
    FormCluster(ClusterId, Members),
    /// Forms a cluster with this store as its only member.
    Init(ClusterId, Member),
    /// A store requests to join the cluster; only the leader acts on it.
    Join(Member),
    /// Name of a store, and the data centre that it reported.
    Locate(Box<str>, Box<str>),
    /// A message from another store.
    Message(Message),
    /// An operator publishes a document with its own version.
    Publish(Publication, Token),
    /// A linearizable read; it is answered once this store is confirmed as the leader.
    Read(Token),
    /// All records up to the one of this entry are on disk.
    Synced(Position),
    /// The time of [`Raft::next_tick`](crate::Raft::next_tick) has come.
    Tick,
}

/// The answer to a request.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub enum Answer {
    /// The membership change is committed.
    Changed,
    /// The ledger holds everything that was acknowledged before the read started.
    Current,
    /// The evacuation is started or ended; the revision of the evacuated data centres from then on.
    Evacuated(Revision),
    /// Outcome of the edit.
    Outcome(Outcome),
    /// Result of the publication.
    Published(Published),
    /// The request has no outcome; the code tells whether it may still take effect.
    Refused(Code, Box<str>),
}

/// An output of the state machine; writes are carried out first, then the other actions, each in
/// the order returned.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub enum Action {
    /// Answer a request.
    Answer(Token, Answer),
    /// Append a record to the log file; synced before any message or answer is sent.
    Persist(Record),
    /// Replace all files; synced before any message or answer is sent.
    Replace(Box<Saved>),
    /// Send a message to another store.
    Send(Message),
}

impl Action {
    /// Replaces all files by a snapshot and the entries after it.
    pub(crate) fn replace(saved: &Saved, snapshot: EncodedSnapshot) -> Self {
        Self::Replace(Box::new(Saved {
            snapshot: Some(snapshot),
            ..saved.clone()
        }))
    }
}
