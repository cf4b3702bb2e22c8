//! The members of the cluster.

use std::net::SocketAddr;

use serde::{
    Deserialize,
    Serialize, //
};

use crate::id::StoreId;

/// A member of the cluster.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct Member {
    /// Inner address of the store.
    pub address: SocketAddr,
    /// Id of the store.
    pub id: StoreId,
    /// Name of the store's instance.
    pub name: Box<str>,
    /// Whether the store counts towards a quorum; otherwise it is a learner.
    pub voter: bool,
}

/// The members of the cluster, as defined by one entry of the log.
#[derive(Clone, Debug, Default, Eq, Hash, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct Members(pub Box<[Member]>);

impl Members {
    /// The member with an id.
    pub fn get(&self, id: StoreId) -> Option<&Member> {
        self.0.iter().find(|member| member.id == id)
    }

    /// The member with a name.
    pub fn by_name(&self, name: &str) -> Option<&Member> {
        self.0.iter().find(|member| &*member.name == name)
    }

    /// Whether the voters that pass the test are a majority.
    pub fn is_quorum(&self, test: impl Fn(StoreId) -> bool) -> bool {
        let voters = self.0.iter().filter(|member| member.voter);
        let passed = voters.clone().filter(|member| test(member.id)).count();
        passed * 2 > voters.count()
    }

    /// Whether a store counts towards a quorum.
    pub fn is_voter(&self, id: StoreId) -> bool {
        self.get(id).is_some_and(|member| member.voter)
    }

    /// The members and one more.
    pub fn with(&self, member: Member) -> Self {
        Self(self.0.iter().cloned().chain([member]).collect())
    }

    /// The members, with one learner promoted to voter.
    pub fn with_voter(&self, id: StoreId) -> Self {
        let promote = |member: &Member| Member {
            voter: member.voter || member.id == id,
            ..member.clone()
        };
        Self(self.0.iter().map(promote).collect())
    }

    /// The members except one.
    pub fn without(&self, id: StoreId) -> Self {
        let others = self.0.iter().filter(|member| member.id != id);
        Self(others.cloned().collect())
    }
}
