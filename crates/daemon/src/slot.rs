//! A request's place at an endpoint.

use std::{
    rc::Rc,
    time::Duration, //
};

use codes::Code;
use directory::EndpointKey;
use dispatch::{
    Event,
    Outcome,
    Ticket, //
};
use futures::channel::oneshot::Receiver;

use crate::{
    refused::Refused,
    services::{
        Placed,
        Services, //
    },
};

/// A request in its service's pool. It leaves the pool when this is dropped: a caller that leaves
/// frees its slot at once.
#[derive(Debug)]
pub struct Slot {
    live: bool,
    service: Box<str>,
    services: Rc<Services>,
    ticket: Ticket,
}

impl Slot {
    /// Waits for a place for a new request.
    ///
    /// # Errors
    ///
    /// The refusal of the pool; the request did not run.
    pub async fn admit(
        services: &Rc<Services>,
        service: &str,
        deadline: Duration,
    ) -> Result<(Self, EndpointKey), Refused> {
        let ticket = services.ticket();
        let mut slot = Self {
            live: true,
            service: service.into(),
            services: services.clone(),
            ticket,
        };
        let placed = services.arrive(service, ticket, deadline);
        let key = slot.placed(placed).await?;
        Ok((slot, key))
    }

    /// Waits for another place for a request that did not run at the first.
    ///
    /// # Errors
    ///
    /// The refusal of the pool; the request did not run.
    pub async fn again(&mut self, outcome: Outcome) -> Result<EndpointKey, Refused> {
        let placed = self.services.wait(self.ticket);
        let ticket = self.ticket;
        self.services
            .refresh(&self.service, outcome == Outcome::Unreachable);
        self.services
            .give(&self.service, Event::Ended { outcome, ticket });
        self.placed(placed).await
    }

    /// Hands the place over to another owner; this one no longer frees it.
    pub fn hand_over(&mut self) -> Self {
        let live = std::mem::take(&mut self.live);
        Self {
            live,
            service: self.service.clone(),
            services: self.services.clone(),
            ticket: self.ticket,
        }
    }

    /// Takes note of how the request ended.
    pub fn end(&mut self, outcome: Outcome) {
        if !self.live {
            return;
        }
        self.live = false;
        let ticket = self.ticket;
        self.services
            .give(&self.service, Event::Ended { outcome, ticket });
    }

    async fn placed(&mut self, receiver: Receiver<Placed>) -> Result<EndpointKey, Refused> {
        let placed = receiver
            .await
            .unwrap_or(Err(Refused::new(Code::RequestShed)));
        self.live = placed.is_ok();
        placed
    }
}

impl Drop for Slot {
    fn drop(&mut self) {
        if self.live {
            self.services.leave(&self.service, self.ticket);
        }
    }
}
