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
    node::Node,
    refused::Refused,
    services::{
        self,
        Placed, //
    },
};

/// A request in its service's pool. It leaves the pool when this is dropped: a caller that leaves
/// frees its slot at once.
#[derive(Debug)]
pub struct Slot {
    live: bool,
    node: Rc<Node>,
    service: Box<str>,
    ticket: Ticket,
}

impl Slot {
    /// Waits for a place for a new request.
    ///
    /// # Errors
    ///
    /// The refusal of the pool; the request did not run.
    pub async fn admit(
        node: &Rc<Node>,
        service: &str,
        deadline: Duration,
    ) -> Result<(Self, EndpointKey), Refused> {
        let ticket = node.dispatch.borrow_mut().ticket();
        let mut slot = Self {
            live: true,
            node: node.clone(),
            service: service.into(),
            ticket,
        };
        let placed = services::arrive(node, service, ticket, deadline);
        let key = slot.placed(placed).await?;
        Ok((slot, key))
    }

    /// Waits for another place for a request that did not run at the first.
    ///
    /// # Errors
    ///
    /// The refusal of the pool; the request did not run.
    pub async fn again(&mut self, outcome: Outcome) -> Result<EndpointKey, Refused> {
        let placed = services::wait(&self.node, self.ticket);
        let ticket = self.ticket;
        services::refresh(&self.node, &self.service, outcome == Outcome::Unreachable);
        services::give(&self.node, &self.service, Event::Ended { outcome, ticket });
        self.placed(placed).await
    }

    /// Hands the place over to another owner; this one no longer frees it.
    pub fn hand_over(&mut self) -> Self {
        let live = std::mem::take(&mut self.live);
        Self {
            live,
            node: self.node.clone(),
            service: self.service.clone(),
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
        services::give(&self.node, &self.service, Event::Ended { outcome, ticket });
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
            services::leave(&self.node, &self.service, self.ticket);
        }
    }
}
