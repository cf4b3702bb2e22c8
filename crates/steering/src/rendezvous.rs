//! Highest random weight hashing (Thaler and Ravishankar, 1998).

use std::hash::{
    Hash,
    Hasher, //
};

use siphasher::sip::SipHasher13;

/// Chooses the candidate with the highest hash of its name together with `key`.
///
/// Every caller with the same candidates chooses the same one, and one candidate more or less
/// moves only the keys that it wins or held.
pub fn choose<'a, K: Hash, T>(key: K, candidates: impl Iterator<Item = (&'a str, T)>) -> Option<T> {
    candidates
        .max_by_key(|(name, _)| {
            let mut hasher = SipHasher13::new();
            key.hash(&mut hasher);
            name.hash(&mut hasher);
            hasher.finish()
        })
        .map(|(_, candidate)| candidate)
}
