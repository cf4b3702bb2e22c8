//! Selection of the holders of each key.

use std::{
    collections::BTreeSet,
    hash::{
        Hash,
        Hasher, //
    },
};

use siphasher::sip::SipHasher13;

use crate::claim::KeyHash;

/// Number of holders of a key.
const HOLDERS_PER_KEY: usize = 3;

/// An entry that may hold claims.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct Member {
    /// Data centre.
    pub centre: Box<str>,
    /// Incarnation of the process; it increases with each start.
    pub incarnation: u64,
    /// Name.
    pub name: Box<str>,
}

/// The present entries, and every data centre that was ever seen.
///
/// A key has three holders in three data centres. A key with a home data centre has two there and
/// one elsewhere. Data centres are never removed: the holders of one that is unreachable are not
/// replaced elsewhere, so that the two sides of a partition cannot both have a majority.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Ring {
    centres: BTreeSet<Box<str>>,
    members: BTreeSet<Member>,
    max_members: usize,
}

impl Ring {
    /// Creates a ring without members.
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns the ring with these members instead of the present ones.
    pub fn with_members(&self, members: impl IntoIterator<Item = Member>) -> Self {
        let members: BTreeSet<_> = members.into_iter().collect();
        let mut centres = self.centres.clone();
        centres.extend(members.iter().map(|member| member.centre.clone()));
        Self {
            centres,
            max_members: self.max_members.max(members.len()),
            members,
        }
    }

    /// The present holders of a key, three at most.
    pub fn holders(&self, key: &KeyHash) -> Vec<&Member> {
        let mut holders: Vec<&Member> = Vec::with_capacity(HOLDERS_PER_KEY);
        for centre in self.holder_centres(key) {
            let next = self
                .members
                .iter()
                .filter(|member| *member.centre == *centre && !holders.contains(member))
                .max_by_key(|member| weight(key.hash, &member.name));
            holders.extend(next);
        }
        holders
    }

    /// Grants that a claim needs: two, or one if the system never had a second entry.
    pub const fn quorum(&self) -> usize {
        match self.max_members {
            0 | 1 => 1,
            _ => 2,
        }
    }

    /// Number of other holders whose claims together include every earlier claim on a key.
    pub fn required_sources(&self) -> usize {
        self.max_members
            .saturating_sub(1)
            .clamp(1, HOLDERS_PER_KEY - 1)
    }

    /// The present entry of that name, if any.
    pub fn member(&self, name: &str) -> Option<&Member> {
        self.members.iter().find(|member| &*member.name == name)
    }

    /// Whether every key that an entry of `centre` holds in this ring was also held by it in
    /// `earlier`.
    ///
    /// Holders have the highest weights, so an entry that holds a key among more entries and data
    /// centres also holds it among fewer.
    pub fn holds_subset(&self, earlier: &Self, centre: &str) -> bool {
        let names = |ring: &Self| -> BTreeSet<Box<str>> {
            let members = ring.members.iter();
            members
                .filter(|member| &*member.centre == centre)
                .map(|member| member.name.clone())
                .collect()
        };
        earlier.centres.is_subset(&self.centres) && names(earlier).is_subset(&names(self))
    }

    /// The present entries.
    pub fn members(&self) -> impl Iterator<Item = &Member> {
        self.members.iter()
    }

    /// The data centre of each holder of a key.
    fn holder_centres<'a>(&'a self, key: &'a KeyHash) -> Vec<&'a str> {
        let mut centres: Vec<&str> = self.centres.iter().map(|centre| &**centre).collect();
        centres.sort_by_key(|centre| std::cmp::Reverse(weight(key.hash, centre)));
        let home = key.home.as_deref().filter(|home| centres.contains(home));
        if let Some(home) = home {
            let outside = centres.iter().copied().find(|centre| *centre != home);
            return vec![home, home, outside.unwrap_or(home)];
        }
        let first = centres.first().copied();
        let mut holder_centres: Vec<&str> = centres.into_iter().take(HOLDERS_PER_KEY).collect();
        while let Some(first) = first
            && holder_centres.len() < HOLDERS_PER_KEY
        {
            holder_centres.insert(0, first);
        }
        holder_centres
    }
}

/// Rendezvous (highest random weight) hashing (Thaler and Ravishankar, 1998).
fn weight(hash: u128, name: &str) -> u64 {
    let mut hasher = SipHasher13::new();
    hash.hash(&mut hasher);
    name.hash(&mut hasher);
    hasher.finish()
}
