//! How the voters are spread over data centres.

use std::collections::BTreeMap;

use crate::members::{
    Member,
    Members, //
};

/// The voters of each data centre, as far as stores have said where they stand.
#[derive(Debug)]
pub(crate) struct Spread<'a> {
    centres: &'a BTreeMap<Box<str>, Box<str>>,
    counts: BTreeMap<&'a str, usize>,
    voters: usize,
}

impl<'a> Spread<'a> {
    /// Counts the voters of each data centre.
    pub fn new(members: &'a Members, centres: &'a BTreeMap<Box<str>, Box<str>>) -> Self {
        let mut counts = BTreeMap::new();
        let voters = members.0.iter().filter(|member| member.voter);
        for voter in voters.clone() {
            if let Some(centre) = centres.get(&voter.name) {
                *counts.entry(&**centre).or_default() += 1;
            }
        }
        Self {
            centres,
            counts,
            voters: voters.count(),
        }
    }

    /// Voters in the data centre of a store; none if it has not said where it stands.
    pub fn beside(&self, member: &Member) -> usize {
        let centre = self.centres.get(&member.name);
        let count = centre.and_then(|centre| self.counts.get(&**centre));
        count.copied().unwrap_or_default()
    }

    /// Whether the loss of a store's data centre would leave no quorum.
    pub fn crowded(&self, member: &Member) -> bool {
        self.beside(member) * 2 >= self.voters
    }
}
