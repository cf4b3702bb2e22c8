//! The slot of a request at an endpoint.

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
    request_error::RequestError,
    service_pools::{
        Placement,
        ServicePools, //
    },
};

/// A request's slot in its service's pool. Dropping it removes the request from the pool, so that a
/// client that disconnects frees its slot at once.
#[derive(Debug)]
pub struct Slot {
    occupied: bool,
    service: Box<str>,
    pools: Rc<ServicePools>,
    ticket: Ticket,
}

impl Slot {
    /// Waits for a slot for a new request.
    ///
    /// # Errors
    ///
    /// The refusal of the pool; the request did not run.
    pub async fn admit(
        pools: &Rc<ServicePools>,
        service: &str,
        deadline: Duration,
    ) -> Result<(Self, EndpointKey), RequestError> {
        let ticket = pools.new_ticket();
        let mut slot = Self {
            occupied: true,
            service: service.into(),
            pools: pools.clone(),
            ticket,
        };
        let receiver = pools.submit(service, ticket, deadline);
        let key = slot.await_placement(receiver).await?;
        Ok((slot, key))
    }

    /// Waits for another slot for a request that did not run in the previous one.
    ///
    /// # Errors
    ///
    /// The refusal of the pool; the request did not run.
    pub async fn place_again(&mut self, outcome: Outcome) -> Result<EndpointKey, RequestError> {
        let receiver = self.pools.register_waiter(self.ticket);
        let ticket = self.ticket;
        self.pools
            .refresh(&self.service, outcome == Outcome::Unreachable);
        self.pools
            .handle_event(&self.service, Event::Ended { outcome, ticket });
        self.await_placement(receiver).await
    }

    /// Transfers the slot to a new owner; this one no longer frees it.
    pub fn transfer(&mut self) -> Self {
        let occupied = std::mem::take(&mut self.occupied);
        Self {
            occupied,
            service: self.service.clone(),
            pools: self.pools.clone(),
            ticket: self.ticket,
        }
    }

    /// Frees the slot and reports the request's outcome to the pool.
    pub fn finish(&mut self, outcome: Outcome) {
        if !self.occupied {
            return;
        }
        self.occupied = false;
        let ticket = self.ticket;
        self.pools
            .handle_event(&self.service, Event::Ended { outcome, ticket });
    }

    async fn await_placement(
        &mut self,
        receiver: Receiver<Placement>,
    ) -> Result<EndpointKey, RequestError> {
        let placement = receiver
            .await
            .unwrap_or(Err(RequestError::new(Code::RequestShed)));
        self.occupied = placement.is_ok();
        placement
    }
}

impl Drop for Slot {
    fn drop(&mut self) {
        if self.occupied {
            self.pools.cancel(&self.service, self.ticket);
        }
    }
}
