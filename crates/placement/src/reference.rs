//! The reference to an endpoint that packets carry.

use std::{
    hash::Hasher as _,
    num::NonZeroU32, //
};

use siphasher::sip::SipHasher13;

/// The reference to an endpoint that packets carry; zero stands for none.
///
/// It follows from the endpoint's name alone, so that all entries find the same one without a word
/// between them, also after a restart.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Reference(NonZeroU32);

impl Reference {
    /// The reference to the endpoint of that name.
    pub fn to(name: &str) -> Self {
        let mut hasher = SipHasher13::new();
        hasher.write(name.as_bytes());
        let hash = hasher.finish();
        let (high, low) = (hash >> 32, hash & u64::from(u32::MAX));
        let number = u32::try_from(high ^ low).unwrap_or(u32::MAX);
        Self(NonZeroU32::new(number).unwrap_or(NonZeroU32::MIN))
    }

    /// The reference in a packet; none if it carries none.
    pub fn read(number: u32) -> Option<Self> {
        NonZeroU32::new(number).map(Self)
    }

    /// The number that packets carry.
    pub const fn number(self) -> u32 {
        self.0.get()
    }
}
