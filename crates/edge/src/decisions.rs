//! Metrics and rate-limited logs of an entry's decisions about flows.

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
    Assessment,
    Endpoint,
    Reference, //
};

use crate::{
    adapter::{
        Packet,
        PacketKind, //
    },
    metrics::Metrics,
};

/// Limit of log lines per second for each kind of decision; omitted lines are counted.
const MAX_LINES: u32 = 20;

/// Kind of a log line.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
enum Subject {
    Assessed,
    Orphaned,
    Placed,
    Refused(Code),
    Unsent,
}

/// Lines of one kind in the current second.
#[derive(Clone, Copy, Debug, Default)]
struct Count {
    omitted: u32,
    written: u32,
}

/// Metrics and rate-limited logs of an entry's decisions about flows.
#[derive(Debug)]
pub struct Decisions {
    counts: RefCell<BTreeMap<Subject, Count>>,
    pub metrics: Metrics,
    window_start: Cell<Duration>,
}

impl Decisions {
    /// Creates empty counts.
    pub const fn new(metrics: Metrics) -> Self {
        Self {
            counts: RefCell::new(BTreeMap::new()),
            metrics,
            window_start: Cell::new(Duration::ZERO),
        }
    }

    /// Records a datagram that cannot be decoded.
    pub fn record_malformed(&self, code: Code) {
        self.metrics.count_refusal(code);
        if self.may_log(Subject::Refused(code)) {
            log::info!(code = code.number(); "{}", code.meaning());
        }
    }

    /// Records the endpoint selected for an opening packet, and the state that the selection used.
    /// Other packets are ignored.
    pub fn record_placement(&self, packet: &Packet, endpoint: &Endpoint, version: u64) {
        let PacketKind::Open(copy) = packet.kind else {
            return;
        };
        self.metrics.placed.inc();
        if copy > 0 {
            self.metrics.copies.inc();
        }
        if !self.may_log(Subject::Placed) {
            return;
        }
        let (client, destination) = (
            packet.flow.client.to_string(),
            packet.flow.destination.to_string(),
        );
        let (load, own) = (endpoint.load(), endpoint.own_load());
        log::info!(
            caller = client, route = destination, copy, version, endpoint = &*endpoint.name,
            incarnation = endpoint.incarnation, phase = format!("{:?}", endpoint.phase),
            distance = format!("{:?}", endpoint.distance), busy = load.busy, flows = load.flows,
            own_busy = own.busy, own_flows = own.flows;
            "a flow was placed"
        );
    }

    /// Records that an endpoint has begun or ceased to perform poorly.
    pub fn record_assessment(&self, assessment: &Assessment) {
        self.metrics.performance.changes.inc();
        if !self.may_log(Subject::Assessed) {
            return;
        }
        let Assessment {
            count,
            name,
            poor,
            time,
        } = assessment;
        let meaning = match poor {
            true => "an endpoint is slow or fails and gets fewer flows",
            false => "an endpoint performs as the others again",
        };
        log::info!(endpoint = &**name, time = time, observations = count; "{meaning}");
    }

    /// Records a reset of an idle flow whose endpoint has left or is unreachable.
    pub fn record_orphan(&self, packet: &Packet) {
        self.metrics.orphans.inc();
        if self.may_log(Subject::Orphaned) {
            let (client, destination) = (
                packet.flow.client.to_string(),
                packet.flow.destination.to_string(),
            );
            log::info!(
                caller = client, route = destination;
                "an idle flow was reset: its endpoint has left or is out of reach"
            );
        }
    }

    /// Records why a packet was not forwarded.
    pub fn record_refusal(&self, packet: &Packet, code: Code, version: u64) {
        self.metrics.count_refusal(code);
        if !self.may_log(Subject::Refused(code)) {
            return;
        }
        let (client, destination) = (
            packet.flow.client.to_string(),
            packet.flow.destination.to_string(),
        );
        let reference = packet.reference.map(Reference::number);
        log::info!(
            code = code.number(), caller = client, route = destination, reference, version;
            "{}", code.meaning()
        );
    }

    /// Records a datagram that could not be received or sent.
    pub fn record_io_error(&self, error: &io::Error) {
        self.metrics.unsent.inc();
        if self.may_log(Subject::Unsent) {
            log::warn!("cannot receive or send a datagram: {error}");
        }
    }

    /// Logs the counts of omitted lines once a second; must be called a few times a second.
    pub fn flush_omitted(&self, now: Duration) {
        if now.saturating_sub(self.window_start.get()) < Duration::from_secs(1) {
            return;
        }
        self.window_start.set(now);
        for (subject, count) in std::mem::take(&mut *self.counts.borrow_mut()) {
            if count.omitted > 0 {
                let subject = format!("{subject:?}");
                log::info!(subject, count = count.omitted; "more of the same were left out");
            }
        }
    }

    /// Whether another line of this kind may be logged in the current second.
    fn may_log(&self, subject: Subject) -> bool {
        let mut counts = self.counts.borrow_mut();
        let count = counts.entry(subject).or_default();
        let allowed = count.written < MAX_LINES;
        count.written += u32::from(allowed);
        count.omitted += u32::from(!allowed);
        allowed
    }
}
