//! The state that a store keeps on disk.

use std::sync::Arc;

use serde::{
    Deserialize,
    Serialize, //
};

use crate::{
    entry::Entry,
    id::{
        ClusterId,
        StoreId, //
    },
    position::{
        Position,
        Term, //
    },
};

/// The current term and this store's vote in it.
#[derive(Clone, Copy, Debug, Default, Eq, Hash, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct Ballot {
    /// The term.
    pub term: Term,
    /// Store that got the vote, if any.
    pub vote: Option<StoreId>,
}

/// An encoded snapshot.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct EncodedSnapshot {
    /// The encoded [`Snapshot`](crate::Snapshot).
    pub bytes: Arc<[u8]>,
    /// Last entry that the snapshot covers.
    pub position: Position,
}

/// A record of the log file; records are applied in the order in which they were written.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
#[derive(Deserialize, Serialize)]
pub enum Record {
    /// A new ballot.
    Ballot(Ballot),
    /// A snapshot covers the entries up to this one.
    Base(Position),
    /// The cluster that the store belongs to.
    Cluster(ClusterId),
    /// An entry, which replaces all entries from its index on.
    Entry(Entry),
}

/// The persistent state of a store, from which it restarts.
#[derive(Clone, Debug, Default, Eq, Hash, PartialEq)]
pub struct Saved {
    /// The ballot.
    pub ballot: Ballot,
    /// The cluster that the store belongs to; none before it forms or joins one.
    pub cluster: Option<ClusterId>,
    /// The entries after the snapshot.
    pub entries: Vec<Entry>,
    /// The snapshot.
    pub snapshot: Option<EncodedSnapshot>,
}

impl Saved {
    /// Applies one record.
    pub fn apply(&mut self, record: Record) {
        match record {
            Record::Ballot(ballot) => self.ballot = ballot,
            Record::Base(_) => {}
            Record::Cluster(cluster) => self.cluster = Some(cluster),
            Record::Entry(entry) => {
                let index = entry.position.index;
                self.entries.retain(|other| other.position.index < index);
                self.entries.push(entry);
            }
        }
    }

    /// The records that restore the state, except for the snapshot's content.
    pub fn records(&self) -> Vec<Record> {
        let cluster = self.cluster.map(Record::Cluster);
        let snapshot = self.snapshot.as_ref();
        let base = snapshot.map(|snapshot| Record::Base(snapshot.position));
        let entries = self.entries.iter().cloned().map(Record::Entry);
        cluster
            .into_iter()
            .chain(base)
            .chain([Record::Ballot(self.ballot)])
            .chain(entries)
            .collect()
    }
}
