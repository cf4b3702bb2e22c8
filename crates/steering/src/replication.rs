//! The paced copying of flows that no packet has copied.

use std::time::Duration;

use crate::{
    flows::{
        Flows,
        missing, //
    },
    identity::InstanceId,
    steer::Copied,
    view::View,
};

/// Bytes that one copied flow takes on the wire, headers shared.
const COPY_BYTES: u32 = 9;

/// Bytes a second that copies may take.
const RATE: u32 = 1800;

/// Factor by which a planned stop copies faster.
const LEAVE_FACTOR: u32 = 16;

/// Time after a change of the view in which packets alone copy flows.
const PATIENCE: Duration = Duration::from_secs(3);

/// Places of the table that are looked at in a millisecond.
const SCAN_RATE: u128 = 200;

/// Longest time that one run makes up for.
const LONGEST_STEP: Duration = Duration::from_secs(1);

/// The paced copying of flows that no packet has copied, and the expiry of silent ones.
#[derive(Clone, Debug)]
pub struct Replication {
    begin: Duration,
    /// Bytes that may be sent.
    credit: u32,
    cursor: u32,
    /// Whether the pass under way has left no flow out.
    clean: bool,
    complete: bool,
    last: Duration,
    rate: u32,
}

impl Replication {
    /// Creates the work of an entry that has just started.
    pub const fn new(now: Duration) -> Self {
        Self {
            begin: now,
            clean: true,
            complete: false,
            credit: 0,
            cursor: 0,
            last: now,
            rate: RATE,
        }
    }

    /// Sets the bytes a second that copies may take.
    pub const fn set_rate(&mut self, rate: u32) {
        self.rate = rate;
    }

    /// Begins anew after a change of the view.
    pub const fn restart(&mut self, now: Duration) {
        self.begin = now;
        self.clean = true;
        self.complete = false;
        self.cursor = 0;
    }

    /// Whether all flows have been looked at since the last change, and none was left out.
    pub const fn complete(&self) -> bool {
        self.complete
    }

    /// Does the share of the work that is due.
    pub fn run(
        &mut self,
        now: Duration,
        view: &View,
        flows: &mut Flows,
        copies: &mut Vec<(InstanceId, Copied)>,
    ) {
        let step = now.saturating_sub(self.last).min(LONGEST_STEP);
        self.last = now;
        self.earn(step, view.leaving());
        let due = step.as_millis().saturating_mul(SCAN_RATE);
        let count = u32::try_from(due).unwrap_or(u32::MAX);
        for _ in 0..count.min(flows.table.places()) {
            self.look(now, view, flows, copies);
            self.advance(flows.table.places());
        }
        if flows.table.places() == 0 {
            self.advance(0);
        }
    }

    fn earn(&mut self, step: Duration, leaving: bool) {
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

    fn advance(&mut self, places: u32) {
        self.cursor += 1;
        if self.cursor >= places {
            self.cursor = 0;
            self.complete = self.clean;
            self.clean = true;
        }
    }

    fn look(
        &mut self,
        now: Duration,
        view: &View,
        flows: &mut Flows,
        copies: &mut Vec<(InstanceId, Copied)>,
    ) {
        let Some(record) = flows.table.at(self.cursor) else {
            return;
        };
        if record.expired(now) {
            flows.forget(record.flow);
            return;
        }
        if !record.owned() || record.epoch == view.epoch() {
            return;
        }
        let early = now < self.begin + PATIENCE && !view.leaving();
        match missing(view, &record) {
            Some(_) if early || self.credit < COPY_BYTES => self.clean = false,
            Some(_) => {
                self.credit -= COPY_BYTES;
                let copy = Copied {
                    endpoint: flows.pool.id(record.endpoint),
                    flow: record.flow,
                    service: flows.pool.service(record.endpoint).unwrap_or_default(),
                };
                copies.extend(flows.owe(view, record).map(|to| (to, copy)));
            }
            None => {
                flows.owe(view, record);
            }
        }
    }
}
