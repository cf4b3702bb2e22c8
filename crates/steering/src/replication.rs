//! Rate-limited background replication of flows.

use std::time::Duration;

use crate::{
    flows::{
        Flows,
        missing_copy, //
    },
    identity::InstanceId,
    steer::FlowCopy,
    view::View,
};

/// Bytes of one flow copy on the wire, with the headers amortised.
const COPY_BYTES: u32 = 9;

/// Default limit of the traffic for copies, in bytes per second.
const BYTES_PER_SECOND: u32 = 1800;

/// Factor of that limit during a planned stop.
const LEAVE_FACTOR: u32 = 16;

/// Time after a change of the view in which flows are copied only by their own packets.
const PACKET_GRACE: Duration = Duration::from_secs(3);

/// Number of table positions scanned per millisecond.
const SCAN_PER_MS: u128 = 200;

/// Maximum elapsed time that one run accounts for.
const MAX_STEP: Duration = Duration::from_secs(1);

/// Rate-limited replication of flows without a second copy, and expiry of idle flows.
///
/// A flow's own packets copy it as well; this covers the flows without packets.
#[derive(Clone, Debug)]
pub struct Replication {
    /// Number of bytes that may be sent now.
    credit: u32,
    cursor: u32,
    /// Whether the current pass has skipped no flow.
    clean: bool,
    complete: bool,
    last_run: Duration,
    rate: u32,
    restarted_at: Duration,
}

impl Replication {
    /// Creates the state of an entry that has just started.
    pub const fn new(now: Duration) -> Self {
        Self {
            clean: true,
            complete: false,
            credit: 0,
            cursor: 0,
            last_run: now,
            rate: BYTES_PER_SECOND,
            restarted_at: now,
        }
    }

    /// Sets the limit of the traffic for copies, in bytes per second.
    pub const fn set_rate(&mut self, rate: u32) {
        self.rate = rate;
    }

    /// Restarts the scan after a change of the view.
    pub const fn restart(&mut self, now: Duration) {
        self.restarted_at = now;
        self.clean = true;
        self.complete = false;
        self.cursor = 0;
    }

    /// Whether a pass over all flows has finished since the last change without skipping one.
    pub const fn complete(&self) -> bool {
        self.complete
    }

    /// Scans the part of the table that is due.
    pub fn run(
        &mut self,
        now: Duration,
        view: &View,
        flows: &mut Flows,
        copies: &mut Vec<(InstanceId, FlowCopy)>,
    ) {
        let step = now.saturating_sub(self.last_run).min(MAX_STEP);
        self.last_run = now;
        self.add_credit(step, view.leaving());
        let due = step.as_millis().saturating_mul(SCAN_PER_MS);
        let count = u32::try_from(due).unwrap_or(u32::MAX);
        for _ in 0..count.min(flows.table.positions()) {
            self.scan(now, view, flows, copies);
            self.advance(flows.table.positions());
        }
        if flows.table.positions() == 0 {
            self.advance(0);
        }
    }

    fn add_credit(&mut self, step: Duration, leaving: bool) {
        let rate = if leaving {
            self.rate.saturating_mul(LEAVE_FACTOR)
        } else {
            self.rate
        };
        let earned = u128::from(rate).saturating_mul(step.as_millis()) / 1000;
        let credit = self
            .credit
            .saturating_add(u32::try_from(earned).unwrap_or(rate));
        self.credit = credit.min(rate);
    }

    fn advance(&mut self, positions: u32) {
        self.cursor += 1;
        if self.cursor >= positions {
            self.cursor = 0;
            self.complete = self.clean;
            self.clean = true;
        }
    }

    fn scan(
        &mut self,
        now: Duration,
        view: &View,
        flows: &mut Flows,
        copies: &mut Vec<(InstanceId, FlowCopy)>,
    ) {
        let Some(record) = flows.table.at(self.cursor) else {
            return;
        };
        if record.expired(now) {
            flows.remove(record.flow);
            return;
        }
        if !record.owned() || record.epoch == view.epoch() {
            return;
        }
        let early = now < self.restarted_at + PACKET_GRACE && !view.leaving();
        match missing_copy(view, &record) {
            Some(_) if early || self.credit < COPY_BYTES => self.clean = false,
            Some(_) => {
                self.credit -= COPY_BYTES;
                let copy = FlowCopy {
                    endpoint: flows.pool.id(record.endpoint),
                    flow: record.flow,
                    service: flows.pool.service(record.endpoint).unwrap_or_default(),
                };
                copies.extend(flows.replicate(view, record).map(|to| (to, copy)));
            }
            None => {
                flows.replicate(view, record);
            }
        }
    }
}
