//! The order in which an instance prefers its upstreams.

use std::{
    cmp::Reverse,
    hash::{
        Hash,
        Hasher, //
    },
};

use siphasher::sip::SipHasher13;

/// An instance that may be followed.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Candidate<K> {
    /// How far it is: 0 in the follower's own data centre, else more the further it is.
    pub distance: u32,
    /// What it is reached by.
    pub key: K,
    /// Its name.
    pub name: Box<str>,
}

/// Orders candidates for the instance `name`.
///
/// The nearest go first, those of one distance by highest random weight (Thaler and Ravishankar,
/// 1998), so that followers spread evenly and a candidate more or less moves only those that it
/// wins or held. Of the own data centre one stays in front and the others go last, so that the
/// first two do not fail together.
pub fn rank<K: Copy>(name: &str, mut candidates: Vec<Candidate<K>>) -> Vec<K> {
    candidates.sort_by_cached_key(|candidate| {
        let mut hasher = SipHasher13::new();
        name.hash(&mut hasher);
        candidate.name.hash(&mut hasher);
        (candidate.distance, Reverse(hasher.finish()))
    });
    let (near, far): (Vec<_>, Vec<_>) = candidates
        .into_iter()
        .partition(|candidate| candidate.distance == 0);
    let mut near = near.into_iter().map(|candidate| candidate.key);
    let first = near.next();
    first
        .into_iter()
        .chain(far.into_iter().map(|candidate| candidate.key))
        .chain(near)
        .collect()
}
