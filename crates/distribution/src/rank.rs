//! An instance's order of preference among upstreams.

use std::{
    cmp::Reverse,
    hash::{
        Hash,
        Hasher, //
    },
};

use siphasher::sip::SipHasher13;

/// A candidate for an upstream.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Candidate<K> {
    /// Distance: 0 in the follower's own data centre, larger the farther away.
    pub distance: u32,
    /// Key that identifies it, such as its address.
    pub key: K,
    /// Name.
    pub name: Box<str>,
}

/// Returns the candidates in order of preference for the instance `name`.
///
/// The nearest come first. Candidates at the same distance are ordered by rendezvous (highest
/// random weight) hashing (Thaler and Ravishankar, 1998), so that followers spread evenly, and
/// adding or removing a candidate moves only the followers that it gains or loses. Only one
/// candidate of the own data centre comes first and the others come last, so that the first two do
/// not fail together.
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
