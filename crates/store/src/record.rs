//! What a store keeps on its disk.

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

/// The term, and who got this store's vote in it.
#[derive(Clone, Copy, Debug, Default, Eq, Hash, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct Ballot {
    /// The term.
    pub term: Term,
    /// Who got the vote, if anyone.
    pub vote: Option<StoreId>,
}

/// An encoded snapshot.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct Encoded {
    /// Its bytes.
    pub bytes: Arc<[u8]>,
    /// Last entry that it holds.
    pub position: Position,
}

/// One record of the log's file, in the order in which they were made.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
#[derive(Deserialize, Serialize)]
pub enum Record {
    /// A new ballot.
    Ballot(Ballot),
    /// The entries up to here are held by a snapshot.
    Base(Position),
    /// The log that the store belongs to.
    Cluster(ClusterId),
    /// An entry; it replaces all entries from its index on.
    Entry(Entry),
}

/// All that a store keeps: what it starts from after a restart.
#[derive(Clone, Debug, Default, Eq, Hash, PartialEq)]
pub struct Saved {
    /// The ballot.
    pub ballot: Ballot,
    /// The log that the store belongs to; none before the first start.
    pub cluster: Option<ClusterId>,
    /// The entries after the snapshot.
    pub entries: Vec<Entry>,
    /// The snapshot.
    pub snapshot: Option<Encoded>,
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

    /// The records that stand for all but the snapshot's own bytes.
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
