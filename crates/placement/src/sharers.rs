//! The entries that share the rates of endpoints in their slow start.

use std::{
    collections::BTreeMap,
    hash::Hasher as _,
    net::SocketAddrV4,
    time::Duration, //
};

use siphasher::sip::SipHasher13;

use crate::{
    places::CentreKey,
    reference::Reference, //
};

/// Time for which an entry that is new, or has become a sharer, leaves the rates to the others:
/// longer than [`LAPSE`] and the time in which stores tell all entries of a new one.
pub const HOLD: Duration = Duration::from_secs(6);

/// Time after which an entry that no store with a quorum has told of the others opens no flows to
/// endpoints in their slow start.
pub const LAPSE: Duration = Duration::from_secs(3);

/// Time without word of a store with a quorum after which an entry counts as new: stores forget it
/// later than that.
const ABSENCE: Duration = Duration::from_secs(30);

/// Number of sharers of a low rate beyond a quarter of the rate.
const MIN_SHARERS: f32 = 4.0;

/// Sharers for each flow a second of the rate.
const SHARERS_PER_RATE: f32 = 0.25;

/// An entry that shares the rates.
#[derive(Clone, Copy, Debug)]
struct Sharer {
    centre: CentreKey,
    /// When a store last told of it.
    told_at: Duration,
}

/// The entries that share the rates of endpoints in their slow start.
///
/// Every entry finds the sharers of an endpoint by itself: those of its data centre whose hashes
/// with the endpoint are highest, so that a change of the entries changes few shares. An entry goes
/// by all entries that it was told of in the last [`HOLD`]: among more entries it has no share
/// that it would not have among fewer.
#[derive(Clone, Debug, Default)]
pub(crate) struct Sharers {
    entries: BTreeMap<SocketAddrV4, Sharer>,
    /// Number of the last change.
    epoch: u64,
    /// This entry.
    own: Option<SocketAddrV4>,
    /// When a store with a quorum last told of the entries.
    told_at: Option<Duration>,
    /// Since when stores have done so without a long pause.
    told_since: Duration,
}

impl Sharers {
    /// Number of the last change.
    pub const fn epoch(&self) -> u64 {
        self.epoch
    }

    /// Marks all shares as changed.
    pub const fn renew(&mut self) {
        self.epoch += 1;
    }

    /// Sets the address of this entry.
    pub const fn set_own(&mut self, own: SocketAddrV4) {
        self.own = Some(own);
    }

    /// Records the entries that a store with a quorum knows.
    pub fn record(
        &mut self,
        now: Duration,
        entries: impl Iterator<Item = (SocketAddrV4, CentreKey)>,
    ) {
        let absent = |at| now.saturating_sub(at) > ABSENCE;
        if self.told_at.is_none_or(absent) {
            self.told_since = now;
        }
        self.told_at = Some(now);
        for (address, centre) in entries {
            let told = Sharer {
                centre,
                told_at: now,
            };
            let former = self.entries.insert(address, told);
            if former.is_none_or(|former| former.centre != centre) {
                self.epoch += 1;
            }
        }
        let count = self.entries.len();
        self.entries
            .retain(|_, entry| now.saturating_sub(entry.told_at) <= HOLD);
        if self.entries.len() != count {
            self.epoch += 1;
        }
    }

    /// Whether this entry may use its shares.
    pub fn entitled(&self, now: Duration) -> bool {
        let fresh = |at| now.saturating_sub(at) <= LAPSE;
        self.told_at.is_some_and(fresh) && now.saturating_sub(self.told_since) >= HOLD
    }

    /// This entry's share of the rate of an endpoint, in flows a second.
    pub fn share(&self, endpoint: Reference, centre: Option<CentreKey>, rate: f32) -> f32 {
        let local = |entry: &Sharer| Some(entry.centre) == centre;
        let any_local = self.entries.values().any(local);
        let sharers = || {
            let entries = self.entries.iter();
            entries.filter(move |(_, entry)| !any_local || local(entry))
        };
        let own = self
            .own
            .filter(|own| sharers().any(|(address, _)| address == own));
        let Some(own) = own else {
            return 0.0;
        };
        let own_weight = (weight(endpoint, own), own);
        let ahead =
            sharers().filter(|(address, _)| (weight(endpoint, **address), **address) > own_weight);
        let limit = sharer_limit(rate).min(sharers().count()).max(1);
        match ahead.count() < limit {
            true => rate / u16::try_from(limit).map_or(f32::MAX, f32::from),
            false => 0.0,
        }
    }
}

/// Largest number of entries that share a rate. Each has at least one flow a second where the rate
/// allows it; each may have saved up one flow, so that all together open at most that number of
/// flows beyond the rate in any second.
fn sharer_limit(rate: f32) -> usize {
    let most = rate.min(MIN_SHARERS + rate * SHARERS_PER_RATE);
    (1..=u8::MAX)
        .take_while(|count| f32::from(*count) <= most)
        .count()
        .max(1)
}

fn weight(endpoint: Reference, entry: SocketAddrV4) -> u64 {
    let mut hasher = SipHasher13::new();
    hasher.write_u32(endpoint.number());
    hasher.write_u32(entry.ip().to_bits());
    hasher.write_u16(entry.port());
    hasher.finish()
}
