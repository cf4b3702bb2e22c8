//! The holders of each key.

use std::{
    collections::BTreeSet,
    hash::{
        Hash,
        Hasher, //
    },
};

use siphasher::sip::SipHasher13;

use crate::claim::KeyHash;

/// Holders of a key.
const SEATS: usize = 3;

/// An entry that may hold claims.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct Member {
    /// Its data centre.
    pub centre: Box<str>,
    /// Grows with each start of its process.
    pub incarnation: u64,
    /// Its name.
    pub name: Box<str>,
}

/// The entries that are present, and every data centre that was ever seen.
///
/// A key has three holders in three data centres. A key that names a data centre has two there
/// and one outside. Data centres are never forgotten: the holders of one that is cut off are not
/// replaced elsewhere, so that both sides of a partition cannot hold a majority.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Ring {
    centres: BTreeSet<Box<str>>,
    members: BTreeSet<Member>,
    most: usize,
}

impl Ring {
    /// Creates a ring without members.
    pub fn new() -> Self {
        Self::default()
    }

    /// The ring after the present members have become these.
    pub fn with_members(&self, members: impl IntoIterator<Item = Member>) -> Self {
        let members: BTreeSet<_> = members.into_iter().collect();
        let mut centres = self.centres.clone();
        centres.extend(members.iter().map(|member| member.centre.clone()));
        Self {
            centres,
            most: self.most.max(members.len()),
            members,
        }
    }

    /// The present holders of a key, three at most.
    pub fn holders(&self, key: &KeyHash) -> Vec<&Member> {
        let mut holders: Vec<&Member> = Vec::with_capacity(SEATS);
        for centre in self.seats(key) {
            let next = self
                .members
                .iter()
                .filter(|member| *member.centre == *centre && !holders.contains(member))
                .max_by_key(|member| weight(key.hash, &member.name));
            holders.extend(next);
        }
        holders
    }

    /// Grants that a claim needs: two, but for a system that never had a second entry.
    pub const fn quorum(&self) -> usize {
        match self.most {
            0 | 1 => 1,
            _ => 2,
        }
    }

    /// Other holders whose claims together hold every earlier claim on a key.
    pub fn others(&self) -> usize {
        self.most.saturating_sub(1).clamp(1, SEATS - 1)
    }

    /// The entry of that name, if it is present.
    pub fn member(&self, name: &str) -> Option<&Member> {
        self.members.iter().find(|member| &*member.name == name)
    }

    /// Whether an entry of `centre` that holds a key in this ring held it in `earlier` too.
    ///
    /// Holders are chosen by weight, so that one of more entries and data centres is also one of
    /// fewer.
    pub fn narrows(&self, earlier: &Self, centre: &str) -> bool {
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

    /// The data centre of each holder.
    fn seats<'a>(&'a self, key: &'a KeyHash) -> Vec<&'a str> {
        let mut centres: Vec<&str> = self.centres.iter().map(|centre| &**centre).collect();
        centres.sort_by_key(|centre| std::cmp::Reverse(weight(key.hash, centre)));
        let home = key.home.as_deref().filter(|home| centres.contains(home));
        if let Some(home) = home {
            let outside = centres.iter().copied().find(|centre| *centre != home);
            return vec![home, home, outside.unwrap_or(home)];
        }
        let first = centres.first().copied();
        let mut seats: Vec<&str> = centres.into_iter().take(SEATS).collect();
        while let Some(first) = first
            && seats.len() < SEATS
        {
            seats.insert(0, first);
        }
        seats
    }
}

/// Highest random weight hashing (Thaler and Ravishankar, 1998).
fn weight(hash: u128, name: &str) -> u64 {
    let mut hasher = SipHasher13::new();
    hash.hash(&mut hasher);
    name.hash(&mut hasher);
    hasher.finish()
}
