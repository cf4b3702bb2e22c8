//! The model of an endpoint: some slots, and a queue that sheds what it cannot hold.

use std::collections::VecDeque;

use crate::{
    key::RequestKey,
    knee::Knee, //
};

/// What an endpoint does with a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Admission {
    /// It waits for a slot.
    Queued,
    /// It is refused and has not run.
    Shed,
    /// It runs at once.
    Started,
}

/// An endpoint.
#[derive(Clone, Debug)]
pub struct Endpoint {
    /// Its data centre.
    pub centre: usize,
    /// Its service.
    pub service: usize,
    /// Its speed.
    pub speed: f64,
    /// The load from which on it works more slowly, if there is one.
    pub knee: Option<Knee>,
    /// Requests that it processes at once.
    pub slots: u16,
    /// Requests that it processes now.
    running: u16,
    limit: usize,
    queue: VecDeque<RequestKey>,
}

impl Endpoint {
    /// Creates an idle endpoint whose queue holds `limit` requests.
    pub const fn new(centre: usize, service: usize, slots: u16, limit: usize) -> Self {
        Self {
            centre,
            knee: None,
            limit,
            queue: VecDeque::new(),
            running: 0,
            service,
            slots,
            speed: 1.0,
        }
    }

    /// Sets its speed.
    pub const fn with_speed(mut self, speed: f64) -> Self {
        self.speed = speed;
        self
    }

    /// Sets the load from which on it works more slowly.
    pub const fn with_knee(mut self, knee: Option<Knee>) -> Self {
        self.knee = knee;
        self
    }

    /// How many times as long as its work a request takes that starts now.
    pub fn slowness(&self) -> f64 {
        let beyond = self.knee.filter(|knee| self.running > knee.requests);
        beyond.map_or(1.0, |knee| knee.factor) / self.speed
    }

    /// Takes a request, if it can.
    pub fn admit(&mut self, request: RequestKey) -> Admission {
        match () {
            () if self.running < self.slots => {
                self.running += 1;
                Admission::Started
            }
            () if self.queue.len() < self.limit => {
                self.queue.push_back(request);
                Admission::Queued
            }
            () => Admission::Shed,
        }
    }

    /// Ends a request; returns the one that takes its slot.
    pub fn finish(&mut self) -> Option<RequestKey> {
        let next = self.queue.pop_front();
        if next.is_none() {
            self.running = self.running.saturating_sub(1);
        }
        next
    }

    /// Requests that it processes or queues, for each slot.
    pub fn pressure(&self) -> f64 {
        let queued = u32::try_from(self.queue.len()).map_or(f64::INFINITY, f64::from);
        (f64::from(self.running) + queued) / f64::from(self.slots)
    }
}
