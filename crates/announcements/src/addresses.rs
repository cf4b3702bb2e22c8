//! Which endpoint holds an address that several announce.
//!
//! Platforms assign the address of an endpoint that has ended to another one, and anyone can
//! announce an address that is in use. Start times and the order of announcements do not tell the
//! two cases apart; only the holder's own announcements do: it keeps the address while they arrive.

use std::{
    net::SocketAddrV4,
    time::Duration, //
};

use crate::registry::Registry;

/// Number of timeouts after which a silent endpoint counts as ended if its departure or its address
/// says so, too: an announcement that was sent again, or passed on by another store, is later than
/// others.
const END_TIMEOUTS: u32 = 2;

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

    /// Settles the addresses that endpoints claim while others hold them. A claimant that has ended
    /// is marked as departed: its flows are lost.
    pub(crate) fn settle_addresses(&mut self, now: Duration) {
        let displaced = self.endpoints.iter().filter(|(_, known)| known.displaced);
        let names: Vec<_> = displaced.map(|(name, _)| name.clone()).collect();
        for name in names {
            self.settle_address(now, &name);
            let Some(known) = self.endpoints.get(&name) else {
                continue;
            };
            let holder = self.holder(known.announcement.address);
            let reassigned = holder.is_some_and(|holder| self.runs(now, holder));
            if known.displaced && !known.departed && reassigned && self.has_ended(now, &name) {
                self.conclude_departure(&name);
            }
        }
    }

    /// Assigns the address of an endpoint to it, unless another endpoint holds it that announces
    /// itself. The other one is displaced then.
    pub(crate) fn settle_address(&mut self, now: Duration, name: &str) {
        let Some(claimant) = self.endpoints.get(name) else {
            return;
        };
        let address = claimant.announcement.address;
        let holder = self.holder(address).filter(|holder| **holder != *name);
        let former: Option<Box<str>> = holder.map(Into::into);
        let displaced = former.as_ref().is_some_and(|former| {
            !self.is_unheard(now, former, self.timeout) || !self.runs(now, name)
        });
        if !displaced {
            self.addresses.insert(address, name.into());
        }
        self.set_displaced(now, name, displaced);
        if let Some(former) = former.filter(|_| !displaced) {
            self.set_displaced(now, &former, true);
        }
    }

    fn set_displaced(&mut self, now: Duration, name: &str, displaced: bool) {
        if let Some(known) = self.endpoints.get_mut(name) {
            known.displaced = displaced;
        }
        self.refresh_silent(now, name);
    }

    /// Whether an endpoint announces itself.
    fn runs(&self, now: Duration, name: &str) -> bool {
        let known = self.endpoints.get(name);
        known.is_some_and(|known| !known.departed && !known.is_quiet(now, self.timeout))
    }

    /// The endpoint that holds an address, unless it has left or moved.
    fn holder(&self, address: SocketAddrV4) -> Option<&str> {
        let name = self.addresses.get(&address)?;
        let known = self.endpoints.get(name)?;
        (!known.departed && known.announcement.address == address).then_some(name)
    }

    /// Whether an endpoint has been silent for so long that it has most likely ended.
    pub(crate) fn has_ended(&self, now: Duration, name: &str) -> bool {
        self.is_unheard(now, name, self.timeout.saturating_mul(END_TIMEOUTS))
    }

    /// Whether nothing was heard of an endpoint for a time, though announcements have arrived
    /// throughout.
    fn is_unheard(&self, now: Duration, name: &str, time: Duration) -> bool {
        let observed = now.saturating_sub(self.observing_since) > time;
        let known = self.endpoints.get(name);
        observed && known.is_some_and(|known| known.is_quiet(now, time))
    }

    /// Marks an endpoint as departed until its next announcement.
    pub(crate) fn conclude_departure(&mut self, name: &str) {
        if let Some(known) = self.endpoints.get_mut(name) {
            known.departed = true;
        }
        self.record_change(name);
    }
}
