//! Digests by which two registries find out where they differ.

use std::hash::{
    Hash as _,
    Hasher as _, //
};

use siphasher::sip::SipHasher13;

use crate::known_endpoint::KnownEndpoint;

/// Buckets of a digest: enough that a few changes among thousands of endpoints leave most buckets
/// alike, few enough for one packet.
const BUCKETS: u64 = 64;

/// A digest of the endpoints in a registry, by buckets of names.
///
/// It covers what entries are told of an endpoint: heartbeats leave it as it is.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Digest(Vec<u64>);

impl Digest {
    /// Creates the digest of some endpoints. `silent` says whether an endpoint counts as silent.
    pub fn new<'a>(
        endpoints: impl Iterator<Item = &'a KnownEndpoint>,
        silent: impl Fn(&KnownEndpoint) -> bool,
    ) -> Self {
        let mut buckets = vec![0; usize::try_from(BUCKETS).unwrap_or_default()];
        for known in endpoints {
            let announcement = &known.announcement;
            let mut hasher = SipHasher13::new();
            announcement.name.hash(&mut hasher);
            announcement.address.hash(&mut hasher);
            announcement.centre.hash(&mut hasher);
            announcement.incarnation.hash(&mut hasher);
            announcement.service.hash(&mut hasher);
            announcement.slots.hash(&mut hasher);
            announcement.state.hash(&mut hasher);
            known.departed.hash(&mut hasher);
            silent(known).hash(&mut hasher);
            if let Some(bucket) = buckets.get_mut(bucket(&announcement.name)) {
                *bucket ^= hasher.finish();
            }
        }
        Self(buckets)
    }

    /// Creates a digest from the buckets of another process.
    pub const fn from_buckets(buckets: Vec<u64>) -> Self {
        Self(buckets)
    }

    /// The buckets.
    pub fn into_buckets(self) -> Vec<u64> {
        self.0
    }

    /// Whether the other registry has the same endpoints in the bucket of a name. A digest without
    /// buckets is like no other.
    pub fn matches(&self, other: &Self, name: &str) -> bool {
        let bucket = bucket(name);
        let own = self.0.get(bucket);
        own.is_some() && own == other.0.get(bucket)
    }
}

fn bucket(name: &str) -> usize {
    let mut hasher = SipHasher13::new();
    hasher.write(name.as_bytes());
    usize::try_from(hasher.finish() % BUCKETS).unwrap_or_default()
}
