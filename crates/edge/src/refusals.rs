//! What an entry could not forward: counted, and logged up to a bound.

use std::{
    cell::{
        Cell,
        RefCell, //
    },
    collections::BTreeMap,
    io,
    time::Duration,
};

use codes::Code;

use crate::border::Packet;

/// Lines a second for each code; what is left out is counted.
const LINES: u32 = 20;

/// Counts of one code in the present second.
#[derive(Clone, Copy, Debug, Default)]
struct Count {
    lines: u32,
    omitted: u32,
}

/// What an entry could not forward.
#[derive(Debug, Default)]
pub struct Refusals {
    counts: RefCell<BTreeMap<Code, Count>>,
    since: Cell<Duration>,
    unsent: Cell<u32>,
}

impl Refusals {
    /// Counts a datagram that names no flow.
    pub fn count(&self, code: Code) {
        self.counts.borrow_mut().entry(code).or_default().omitted += 1;
    }

    /// Logs why a flow's packet was not forwarded.
    pub fn flow(&self, packet: &Packet, code: Code) {
        let mut counts = self.counts.borrow_mut();
        let count = counts.entry(code).or_default();
        if count.lines >= LINES {
            count.omitted += 1;
            return;
        }
        count.lines += 1;
        let (caller, route) = (
            packet.flow.caller.to_string(),
            packet.flow.route.to_string(),
        );
        let reference = packet.reference.map(placement::Reference::number);
        log::info!(code = code.number(), caller, route, reference; "{}", code.meaning());
    }

    /// Counts a datagram that the system did not take.
    pub fn unsent(&self, error: &io::Error) {
        if self.unsent.replace(self.unsent.get() + 1) == 0 {
            log::warn!("a datagram could not be sent: {error}");
        }
    }

    /// Logs what was left out; to be called a few times a second.
    pub fn report(&self, now: Duration) {
        if now.saturating_sub(self.since.get()) < Duration::from_secs(1) {
            return;
        }
        self.since.set(now);
        let unsent = self.unsent.take();
        if unsent > 1 {
            log::warn!(count = unsent; "datagrams could not be sent");
        }
        for (code, count) in std::mem::take(&mut *self.counts.borrow_mut()) {
            if count.omitted > 0 {
                log::info!(code = code.number(), count = count.omitted; "more of the same were left out");
            }
        }
    }
}
