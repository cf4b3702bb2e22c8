//! The stores that keep the log.

use std::net::SocketAddr;

use serde::{
    Deserialize,
    Serialize, //
};

use crate::id::StoreId;

/// One store.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct Member {
    /// Its inner address.
    pub address: SocketAddr,
    /// Its data folder.
    pub id: StoreId,
    /// Its instance's name.
    pub name: Box<str>,
    /// Whether it counts towards a quorum; a learner does not.
    pub voter: bool,
}

/// The stores that keep the log, as one entry of the log names them.
#[derive(Clone, Debug, Default, Eq, Hash, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct Members(pub Box<[Member]>);

impl Members {
    /// The member with a data folder.
    pub fn get(&self, id: StoreId) -> Option<&Member> {
        self.0.iter().find(|member| member.id == id)
    }

    /// The member with a name.
    pub fn named(&self, name: &str) -> Option<&Member> {
        self.0.iter().find(|member| &*member.name == name)
    }

    /// Whether the stores that pass the test are more than half of the voters.
    pub fn quorum(&self, test: impl Fn(StoreId) -> bool) -> bool {
        let voters = self.0.iter().filter(|member| member.voter);
        let passed = voters.clone().filter(|member| test(member.id)).count();
        passed * 2 > voters.count()
    }

    /// Whether a store counts towards a quorum.
    pub fn votes(&self, id: StoreId) -> bool {
        self.get(id).is_some_and(|member| member.voter)
    }

    /// The list with one more member.
    pub fn with(&self, member: Member) -> Self {
        Self(self.0.iter().cloned().chain([member]).collect())
    }

    /// The list with one learner made a voter.
    pub fn with_voter(&self, id: StoreId) -> Self {
        let raise = |member: &Member| Member {
            voter: member.voter || member.id == id,
            ..member.clone()
        };
        Self(self.0.iter().map(raise).collect())
    }

    /// The list without one member.
    pub fn without(&self, id: StoreId) -> Self {
        let others = self.0.iter().filter(|member| member.id != id);
        Self(others.cloned().collect())
    }
}
