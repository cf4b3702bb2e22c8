//! Distribution of the voters over data centres.

use std::collections::BTreeMap;

use crate::members::{
    Member,
    Members, //
};

/// Number of voters in each data centre, for the stores that reported their data centre.
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

    /// Number of voters in a store's data centre; 0 if the store has not reported it.
    pub fn centre_voters(&self, member: &Member) -> usize {
        let centre = self.centres.get(&member.name);
        let count = centre.and_then(|centre| self.counts.get(&**centre));
        count.copied().unwrap_or_default()
    }

    /// Whether the loss of a store's data centre would break the quorum.
    pub fn is_critical(&self, member: &Member) -> bool {
        self.centre_voters(member) * 2 >= self.voters
    }
}
