//! Departures of endpoints.
//!
//! A departure may be delayed until another incarnation of its endpoint runs, and need not say which
//! one it is of. It ends only an incarnation that it must be of. For that one it is final, whatever
//! late announcements arrive; where an end is only concluded from silence, the next announcement
//! shows that the endpoint runs.

use std::time::Duration;

use crate::{
    announcement::State,
    known_endpoint::CLOCK_OFFSET,
    record::Record,
    registry::Registry, //
};

/// Sequence number of an announced departure, which is the last that an incarnation says.
const LAST_SEQUENCE: u64 = u64::MAX;

/// What a store has made of a departure.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Departure {
    /// The endpoint has left; holds the number of the change.
    Applied(u64),
    /// It may be of an earlier incarnation: the endpoint counts as departed once it is silent.
    Awaited,
    /// It is of an earlier incarnation than the known one.
    Outdated,
    /// This store does not know that the endpoint is about to leave.
    Unknown,
}

impl Registry {
    /// Applies a departure of an incarnation. Without one, it is of an endpoint that drains: each
    /// endpoint announces that before it leaves.
    pub fn depart(&mut self, now: Duration, name: &str, incarnation: Option<u64>) -> Departure {
        let Some(known) = self.endpoints.get_mut(name) else {
            return Departure::Unknown;
        };
        let held = known.announcement.incarnation;
        let draining = known.announcement.state == State::Draining;
        match incarnation {
            Some(incarnation) if incarnation < held => return Departure::Outdated,
            Some(incarnation) if incarnation > held => return Departure::Unknown,
            None if known.departed => return Departure::Applied(known.store_change),
            None if !draining => return Departure::Unknown,
            None if known.restarted => {
                known.departing_at = Some(now + CLOCK_OFFSET);
                return Departure::Awaited;
            }
            Some(_) | None => {}
        }
        let mut announcement = known.announcement.clone();
        announcement.sequence = LAST_SEQUENCE;
        let record = Record {
            age: 0,
            announcement,
            departed: true,
            silent: false,
        };
        self.insert(now, record, true);
        let change = self.endpoints.get(name).map(|known| known.store_change);
        change.map_or(Departure::Unknown, Departure::Applied)
    }

    /// Ends the endpoints of awaited departures that have fallen silent; one that has announced
    /// itself since goes on.
    pub(crate) fn settle_departures(&mut self, now: Duration) {
        let mut silent = Vec::new();
        for (name, known) in &mut self.endpoints {
            match known.departing_at {
                Some(at) if known.last_announced > at => known.departing_at = None,
                Some(_) => silent.push(name.clone()),
                None => {}
            }
        }
        silent.retain(|name| self.has_ended(now, name));
        for name in silent {
            if let Some(known) = self.endpoints.get_mut(&name) {
                known.departing_at = None;
            }
            self.conclude_departure(&name);
        }
    }
}
