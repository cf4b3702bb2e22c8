//! What a store sends to one follower next.

use std::{
    net::SocketAddrV4,
    time::Duration, //
};

use announcements::Cursor;
use store::Revision;

use crate::{
    centre_entries::CentreEntries,
    follower::Follower,
    message::{
        Push,
        StoreLocation, //
    },
    state::StoreState,
    terms::Terms, //
};

/// Interval of keepalives to an entry.
const KEEPALIVE_INTERVAL: Duration = Duration::from_millis(500);

/// Largest number of endpoint records in one frame, some ten kilobytes: a slow link carries a frame
/// within the timeout of the connection, and a store holds one for each follower that catches up.
const MAX_RECORDS: usize = 200;

/// What a store sends to one follower next. It keeps what was sent, not what is to be sent: a slow
/// follower gets the newest state.
#[derive(Debug)]
pub struct Feed<'a> {
    cursor: Cursor,
    entries: Vec<CentreEntries>,
    /// Revision of the evacuated data centres that it was sent.
    evacuated: Revision,
    follower: &'a Follower,
    located: Vec<StoreLocation>,
    next_keepalive: Duration,
    stores: Vec<SocketAddrV4>,
    /// Version of the document that it has.
    version: u64,
    /// Whether the store was up to date with a quorum at the last push.
    was_current: bool,
}

impl<'a> Feed<'a> {
    /// Creates the feed of a follower that has a version of the document.
    pub fn new(follower: &'a Follower, version: u64) -> Self {
        Self {
            cursor: Cursor::default(),
            entries: Vec::new(),
            evacuated: Revision::default(),
            follower,
            located: Vec::new(),
            next_keepalive: Duration::ZERO,
            stores: Vec::new(),
            version,
            was_current: false,
        }
    }

    /// When the next keepalive is due.
    pub const fn next_keepalive(&self) -> Duration {
        self.next_keepalive
    }

    /// The next push; none if nothing has changed and no keepalive is due. Only the last part of
    /// several may mark the store as up to date.
    pub fn next(&mut self, state: &StoreState, now: Duration) -> Option<Push> {
        let page = {
            let registry = state.registry.borrow();
            let limited = limits_slow_starts(state);
            let lacks = |known: &_| self.follower.lacks(known, limited);
            registry.changed_page(now, self.cursor, MAX_RECORDS, lacks)
        };
        self.cursor.advance(&page);
        if page.more {
            return Some(Push {
                more: true,
                records: page.records,
                states: page.states,
                ..Push::default()
            });
        }
        let document = state.document.borrow().clone();
        let document = document.filter(|document| document.version > self.version);
        let evacuated = {
            let evacuated = state.evacuated.borrow();
            (evacuated.revision > self.evacuated).then(|| evacuated.clone())
        };
        let current = state.replica.borrow().raft().is_current(now);
        let regained = current && !self.was_current;
        let changed = !page.records.is_empty() || !page.states.is_empty();
        let ordered = document.is_some() || evacuated.is_some();
        if !ordered && !changed && !regained && now < self.next_keepalive {
            return None;
        }
        if let Some(document) = &document {
            self.version = document.version;
        }
        if let Some(evacuated) = &evacuated {
            self.evacuated = evacuated.revision;
        }
        self.was_current = current;
        self.next_keepalive = now + KEEPALIVE_INTERVAL;
        let known = state.peers.borrow().addresses().collect();
        Some(Push {
            current,
            document: document.as_ref().map(|document| (**document).clone()),
            entries: self.changed_entries(state),
            evacuated,
            loads: self.follower.changed_loads(&state.loads.borrow()),
            located: if_changed(&mut self.located, state.located_stores()),
            more: false,
            performance: self.follower.changed_performance(
                now,
                &state.loads.borrow(),
                &state.performance.borrow(),
            ),
            records: page.records,
            states: page.states,
            stores: if_changed(&mut self.stores, known),
            terms: document.map(|document| document.terms.clone()),
        })
    }

    /// All entries, if they have changed and share the rate of a service's endpoints.
    fn changed_entries(&mut self, state: &StoreState) -> Option<Vec<CentreEntries>> {
        if !limits_slow_starts(state) {
            return None;
        }
        let entries = state.entries.borrow().located();
        let entries = if_changed(&mut self.entries, entries);
        (!entries.is_empty()).then_some(entries)
    }
}

/// Whether the document limits the new flows to endpoints in their slow start.
fn limits_slow_starts(state: &StoreState) -> bool {
    let document = state.document.borrow();
    let terms = document.as_ref().map(|document| &document.terms);
    terms.is_some_and(Terms::limit_slow_starts)
}

/// The list if it differs from the last one, which it replaces; else an empty one.
fn if_changed<T: Clone + PartialEq>(last: &mut Vec<T>, list: Vec<T>) -> Vec<T> {
    if *last == list {
        return Vec::new();
    }
    *last = list;
    last.clone()
}
