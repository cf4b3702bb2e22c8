//! What an entry decided about flows: counted, and logged up to a bound.

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
use placement::{
    Endpoint,
    Reference, //
};

use crate::{
    border::{
        Kind,
        Packet, //
    },
    metrics::Metrics,
};

/// Lines a second for each kind of decision; what is left out is counted.
const LINES: u32 = 20;

/// What a line is about.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
enum Subject {
    Orphaned,
    Placed,
    Refused(Code),
    Unsent,
}

/// Lines about one subject in the present second.
#[derive(Clone, Copy, Debug, Default)]
struct Count {
    omitted: u32,
    written: u32,
}

/// What an entry decided about flows.
#[derive(Debug)]
pub struct Decisions {
    counts: RefCell<BTreeMap<Subject, Count>>,
    pub metrics: Metrics,
    since: Cell<Duration>,
}

impl Decisions {
    /// Starts with nothing counted.
    pub const fn new(metrics: Metrics) -> Self {
        Self {
            counts: RefCell::new(BTreeMap::new()),
            metrics,
            since: Cell::new(Duration::ZERO),
        }
    }

    /// Counts a datagram that names no flow.
    pub fn unreadable(&self, code: Code) {
        self.metrics.refuse(code);
        if self.line(Subject::Refused(code)) {
            log::info!(code = code.number(); "{}", code.meaning());
        }
    }

    /// Notes which endpoint got a flow, and what was known of it.
    pub fn placed(&self, packet: &Packet, endpoint: &Endpoint, version: u64) {
        let Kind::Open(copy) = packet.kind else {
            return;
        };
        self.metrics.placed.inc();
        if copy > 0 {
            self.metrics.copies.inc();
        }
        if !self.line(Subject::Placed) {
            return;
        }
        let (caller, route) = (
            packet.flow.caller.to_string(),
            packet.flow.route.to_string(),
        );
        let (load, own) = (endpoint.load(), endpoint.own_load());
        log::info!(
            caller, route, copy, version, endpoint = &*endpoint.name,
            incarnation = endpoint.incarnation, phase = format!("{:?}", endpoint.phase),
            distance = format!("{:?}", endpoint.distance), busy = load.busy, flows = load.flows,
            own_busy = own.busy, own_flows = own.flows;
            "a flow was placed"
        );
    }

    /// Notes that an idle flow was given up because its endpoint has left or is out of reach.
    pub fn orphaned(&self, packet: &Packet) {
        self.metrics.orphans.inc();
        if self.line(Subject::Orphaned) {
            let (caller, route) = (
                packet.flow.caller.to_string(),
                packet.flow.route.to_string(),
            );
            log::info!(caller, route; "an idle flow was reset: its endpoint has left or is out of reach");
        }
    }

    /// Notes why a flow's packet was not forwarded.
    pub fn refused(&self, packet: &Packet, code: Code, version: u64) {
        self.metrics.refuse(code);
        if !self.line(Subject::Refused(code)) {
            return;
        }
        let (caller, route) = (
            packet.flow.caller.to_string(),
            packet.flow.route.to_string(),
        );
        let reference = packet.reference.map(Reference::number);
        log::info!(code = code.number(), caller, route, reference, version; "{}", code.meaning());
    }

    /// Notes a datagram that the system did not take or hand over.
    pub fn lost(&self, error: &io::Error) {
        self.metrics.unsent.inc();
        if self.line(Subject::Unsent) {
            log::warn!("a datagram could not be received or sent: {error}");
        }
    }

    /// Logs what was left out; to be called a few times a second.
    pub fn report(&self, now: Duration) {
        if now.saturating_sub(self.since.get()) < Duration::from_secs(1) {
            return;
        }
        self.since.set(now);
        for (subject, count) in std::mem::take(&mut *self.counts.borrow_mut()) {
            if count.omitted > 0 {
                let subject = format!("{subject:?}");
                log::info!(subject, count = count.omitted; "more of the same were left out");
            }
        }
    }

    /// Whether one more line about a subject may be written.
    fn line(&self, subject: Subject) -> bool {
        let mut counts = self.counts.borrow_mut();
        let count = counts.entry(subject).or_default();
        let free = count.written < LINES;
        count.written += u32::from(free);
        count.omitted += u32::from(!free);
        free
    }
}
