//! Endpoint references carried in packets.

use std::{
    hash::Hasher as _,
    num::NonZeroU32, //
};

use siphasher::sip::SipHasher13;

/// A reference to an endpoint, carried in packets; zero means none.
///
/// It is a hash of the endpoint's name alone, so that all entries compute the same one without
/// coordination, also after a restart.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Reference(NonZeroU32);

impl Reference {
    /// Computes the reference to the endpoint named `name`.
    pub fn from_name(name: &str) -> Self {
        let mut hasher = SipHasher13::new();
        hasher.write(name.as_bytes());
        let hash = hasher.finish();
        let (high, low) = (hash >> 32, hash & u64::from(u32::MAX));
        let number = u32::try_from(high ^ low).unwrap_or(u32::MAX);
        Self(NonZeroU32::new(number).unwrap_or(NonZeroU32::MIN))
    }

    /// Decodes the reference field of a packet; none if the field is zero.
    pub fn from_number(number: u32) -> Option<Self> {
        NonZeroU32::new(number).map(Self)
    }

    /// The value of the reference field in packets.
    pub const fn number(self) -> u32 {
        self.0.get()
    }
}
