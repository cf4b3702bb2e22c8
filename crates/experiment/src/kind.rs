//! Kinds of requests.

use egress::Class;
use serde::Deserialize;

use crate::packet::{
    DATAGRAM_BYTES,
    HEADER_BYTES,
    MAX_DATA,
    REQUEST_BYTES, //
};

/// Mean body from which on the requests of a kind are bulk, in bytes.
const BULK_BODY: f64 = 8_192.0;

/// How clients of a kind use flows.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
#[derive(Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Habit {
    /// A flow for each request.
    Fresh,
    /// Flows stay open, and a request takes an idle one.
    Pool,
}

/// A kind of request.
#[derive(Clone, Debug)]
#[derive(Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct Kind {
    /// Latency objective, in milliseconds.
    pub aim_ms: f64,
    /// Mean body of a request, in bytes.
    #[serde(default)]
    pub body: f64,
    /// Time after which a client gives up, in milliseconds.
    pub deadline_ms: f64,
    /// How its clients use flows.
    pub habit: Habit,
    /// Worth of a late answer.
    pub late_worth: f64,
    /// Its name.
    pub name: Box<str>,
    /// Priority on the entries' links; 0 is the highest.
    #[serde(default)]
    pub priority: u32,
    /// Requests a second in the whole deployment, at a load of 1.
    pub rate: f64,
    /// Further attempts after a request that has not run.
    pub retries: u32,
    /// The service that answers it.
    pub service: Box<str>,
    /// Mean work at an endpoint, in milliseconds.
    pub work_ms: f64,
    /// Worth of an answer in time.
    pub worth: f64,
}

impl Kind {
    /// Class of its packets on an entry's link.
    pub fn class(&self) -> Class {
        match self.body > BULK_BODY {
            true => Class::Bulk,
            false => Class::Request {
                priority: self.priority,
            },
        }
    }

    /// Mean bytes of a request's packets that pass an entry.
    pub fn mean_bytes(&self) -> f64 {
        let packets = 1.0 + self.body / f64::from(MAX_DATA);
        // The opening packet and the closing one.
        let further = match self.habit {
            Habit::Fresh => 2.0,
            Habit::Pool => 1.0,
        };
        let header = f64::from(HEADER_BYTES + DATAGRAM_BYTES);
        f64::from(REQUEST_BYTES) + self.body + (packets + further) * header
    }
}
