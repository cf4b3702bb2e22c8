//! What an entry's view knows of slow starts: the entries that share the rates.

use std::{
    net::SocketAddrV4,
    time::Duration, //
};

use crate::{
    centre_entries::CentreEntries,
    view::View, //
};

impl View {
    /// Sets this entry's internal address, by which stores know it.
    pub const fn with_address(mut self, address: SocketAddrV4) -> Self {
        self.pool.set_own_address(address);
        self
    }

    /// Records the entries that the store in a slot knows; it has a quorum.
    pub(crate) fn record_entries(&mut self, now: Duration, slot: usize) {
        let Some(source) = self.sources.get(slot) else {
            return;
        };
        if source.entries.is_empty() {
            return;
        }
        let pool = &mut self.pool;
        let mut known = Vec::new();
        for CentreEntries { centre, entries } in &source.entries {
            let centre = pool.centre(centre);
            known.extend(entries.iter().map(|entry| (*entry, centre)));
        }
        pool.record_entries(now, known.into_iter());
    }

    /// Lets the endpoints of a data centre that got no flows, as after an evacuation, count as in
    /// their slow start until they would have announced one.
    pub fn presume_slow(&mut self, now: Duration, centre: &str) {
        let centre = self.pool.centre(centre);
        self.pool.presume_slow(now, centre);
    }
}
