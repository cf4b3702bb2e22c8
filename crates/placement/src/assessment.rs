//! Endpoints that perform poorly compared with the others of their service.

use std::time::Duration;

use crate::{
    endpoint::Endpoint,
    performance::Level, //
};

/// Expected relative time from which an endpoint counts as poor, and below which it no longer does:
/// apart, so that noise near one of them does not count as a change.
const POOR_TIME: f64 = 2.5;
const FAIR_TIME: f64 = 1.5;

/// Observations from which enough is known of an endpoint to compare it.
const KNOWN_COUNT: f64 = 4.0;

/// A change of an endpoint's assessment.
#[derive(Clone, Debug, PartialEq)]
pub struct Assessment {
    /// Number of the observations that it rests on.
    pub count: f64,
    /// Name of the endpoint.
    pub name: Box<str>,
    /// Whether it performs poorly.
    pub poor: bool,
    /// Expected time of a request relative to the mean of the service.
    pub time: f64,
}

impl Endpoint {
    /// Expected time of a request, relative to the mean of the service, at the load at which the
    /// endpoint is fastest.
    pub fn expected_time(&self, now: Duration) -> f64 {
        let learnt = self.performance(now);
        let times = Level::ALL.map(|level| learnt.time(now, level));
        times.into_iter().fold(f64::INFINITY, f64::min)
    }

    /// Whether enough is known of it to compare it with the others.
    pub fn is_known(&self, now: Duration) -> bool {
        self.performance(now).count(now) >= KNOWN_COUNT
    }

    /// Whether it performs poorly: it answers slowly, or fails.
    pub const fn is_poor(&self) -> bool {
        self.poor
    }

    /// Assesses it anew; returns the assessment if it has changed.
    pub(crate) fn assess(&mut self, now: Duration) -> Option<Assessment> {
        let time = self.expected_time(now);
        let poor = match self.poor {
            true => time > FAIR_TIME,
            false => time >= POOR_TIME,
        };
        let changed = std::mem::replace(&mut self.poor, poor) != poor;
        changed.then(|| Assessment {
            count: self.performance(now).count(now),
            name: self.name.clone(),
            poor,
            time,
        })
    }
}
