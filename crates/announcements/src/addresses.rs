//! Which endpoint owns an address that several announce.

use std::{
    net::SocketAddrV4,
    time::Duration, //
};

use crate::{
    record::Record,
    registry::Registry, //
};

/// Time without a tick after which announcements may wait to be received: a few ticks.
const PAUSE_TIME: Duration = Duration::from_secs(1);

impl Registry {
    /// Records whether announcements reach this store; their absence shows nothing otherwise.
    pub(crate) fn observe(&mut self, now: Duration, connected: bool) {
        if !connected || now.saturating_sub(self.ticked_at) > PAUSE_TIME {
            self.observing_since = now;
        }
        self.ticked_at = now;
    }

    /// Whether a later endpoint owns the record's address, so that the record's endpoint has ended.
    pub(crate) fn superseded(&self, record: &Record) -> bool {
        let own = &record.announcement;
        let owner = self
            .addresses
            .get(&own.address)
            .filter(|name| **name != own.name)
            .and_then(|name| self.endpoints.get(name));
        owner.is_some_and(|owner| {
            let other = &owner.announcement;
            let later = (other.incarnation, &other.name) > (own.incarnation, &own.name);
            other.address == own.address && later
        })
    }

    /// Assigns an address to its new owner, and marks the previous owner as departed.
    pub(crate) fn assign_address(&mut self, address: SocketAddrV4, name: &str) {
        let former = self.addresses.insert(address, name.into());
        let Some(former) = former.filter(|former| **former != *name) else {
            return;
        };
        if let Some(known) = self.endpoints.get_mut(&former)
            && known.announcement.address == address
            && !known.departed
        {
            known.departed = true;
            self.record_change(&former);
        }
    }

    /// Whether nothing is heard of an endpoint though announcements have arrived all the time.
    pub(crate) fn has_ended(&self, now: Duration, name: &str) -> bool {
        let observed = now.saturating_sub(self.observing_since) > self.timeout;
        let known = self.endpoints.get(name);
        observed && known.is_some_and(|known| known.is_quiet(now, self.timeout))
    }
}
