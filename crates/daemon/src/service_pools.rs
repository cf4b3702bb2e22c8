//! The request pools of all services.

use std::{
    cell::RefCell,
    collections::BTreeMap,
    rc::Rc,
    time::Duration, //
};

use codes::Code;
use directory::EndpointKey;
use dispatch::{
    Action,
    Event,
    LeastRequests,
    Pool,
    Ticket, //
};
use futures::channel::oneshot;

use crate::{
    candidates::candidates,
    local_view::LocalView,
    request_error::RequestError, //
};

/// Maximum number of running and waiting requests of an entry, over all services.
const MAX_ENTRY_REQUESTS: usize = 4096;

/// Minimum interval between two reads of a service's endpoints from the directory.
const REFRESH_INTERVAL: Duration = Duration::from_millis(50);

/// The endpoint on which a request is placed, or the reason for which it is refused.
pub type Placement = Result<EndpointKey, RequestError>;

#[derive(Debug)]
struct ServicePool {
    pool: Pool<LeastRequests<EndpointKey>>,
    read_at: Option<Duration>,
    tick_scheduled: bool,
}

#[derive(Debug, Default)]
struct Pools {
    by_service: BTreeMap<Box<str>, ServicePool>,
    serial: u64,
    waiters: BTreeMap<Ticket, oneshot::Sender<Placement>>,
}

impl Pools {
    /// Returns the number of running and waiting requests.
    fn load(&self) -> usize {
        let pools = self.by_service.values();
        pools
            .map(|service_pool| service_pool.pool.running() + service_pool.pool.waiting())
            .sum()
    }
}

/// The request pools of all services, and the requests that wait for a slot.
#[derive(Debug)]
pub struct ServicePools {
    view: Rc<LocalView>,
    pools: RefCell<Pools>,
}

impl ServicePools {
    /// Creates an empty set of pools.
    pub fn new(view: Rc<LocalView>) -> Self {
        Self {
            view,
            pools: RefCell::default(),
        }
    }

    /// Returns the number of requests that are running at endpoints.
    pub fn running_total(&self) -> u32 {
        let pools = self.pools.borrow();
        let pools = pools.by_service.values();
        let total: usize = pools.map(|service_pool| service_pool.pool.running()).sum();
        u32::try_from(total).unwrap_or(u32::MAX)
    }

    /// Returns a ticket that is unique within this process.
    pub fn new_ticket(&self) -> Ticket {
        let mut pools = self.pools.borrow_mut();
        pools.serial += 1;
        Ticket(pools.serial)
    }

    /// Submits a request to its service's pool; the receiver gets its placement.
    pub fn submit(
        self: &Rc<Self>,
        service: &str,
        ticket: Ticket,
        deadline: Duration,
    ) -> oneshot::Receiver<Placement> {
        let receiver = self.register_waiter(ticket);
        if self.pools.borrow().load() >= MAX_ENTRY_REQUESTS {
            self.notify(ticket, Err(RequestError::new(Code::RequestShed)));
            return receiver;
        }
        self.refresh(service, false);
        self.handle_event(service, Event::Arrived { deadline, ticket });
        receiver
    }

    /// Registers a request that is about to be placed, initially or on a retry.
    pub fn register_waiter(&self, ticket: Ticket) -> oneshot::Receiver<Placement> {
        let (sender, receiver) = oneshot::channel();
        self.pools.borrow_mut().waiters.insert(ticket, sender);
        receiver
    }

    /// Passes an event to a service's pool and notifies the requests whose placement it decides.
    pub fn handle_event(self: &Rc<Self>, service: &str, event: Event<EndpointKey>) {
        let now = self.view.now();
        let (actions, tick) = {
            let mut pools = self.pools.borrow_mut();
            let Some(service_pool) = pools.by_service.get_mut(service) else {
                return;
            };
            let actions = service_pool.pool.handle(now, event);
            let tick = service_pool
                .pool
                .next_tick(now)
                .filter(|_| !service_pool.tick_scheduled);
            service_pool.tick_scheduled |= tick.is_some();
            (actions, tick)
        };
        for action in actions {
            match action {
                Action::Place { key, ticket } => self.notify(ticket, Ok(key)),
                Action::Refuse {
                    code,
                    retry_after,
                    ticket,
                } => self.notify(
                    ticket,
                    Err(RequestError::new(code).with_retry_after(retry_after)),
                ),
            }
        }
        if let Some(at) = tick {
            let pause = at.saturating_sub(now);
            compio::runtime::spawn(self.clone().tick(service.into(), pause)).detach();
        }
    }

    /// Removes a request whose client has disconnected.
    pub fn cancel(self: &Rc<Self>, service: &str, ticket: Ticket) {
        self.pools.borrow_mut().waiters.remove(&ticket);
        self.handle_event(service, Event::Cancelled(ticket));
    }

    /// Reads a service's endpoints from the directory, unless they were read within
    /// [`REFRESH_INTERVAL`] and are not known to be `stale`.
    pub fn refresh(self: &Rc<Self>, service: &str, stale: bool) {
        let now = self.view.now();
        let recent = {
            let pools = self.pools.borrow();
            let read = pools.by_service.get(service);
            let read = read.and_then(|service_pool| service_pool.read_at);
            read.is_some_and(|read| now.saturating_sub(read) < REFRESH_INTERVAL)
        };
        if recent && !stale {
            return;
        }
        let Some((limits, candidates)) = candidates(&self.view, service) else {
            return;
        };
        {
            let mut pools = self.pools.borrow_mut();
            let service_pool =
                pools
                    .by_service
                    .entry(service.into())
                    .or_insert_with(|| ServicePool {
                        pool: Pool::new(LeastRequests::new(rand::random()), limits),
                        read_at: None,
                        tick_scheduled: false,
                    });
            service_pool.pool.set_limits(limits);
            // An empty list is not cached, so that the first endpoint of a service serves at once.
            service_pool.read_at = (!candidates.is_empty()).then_some(now);
        }
        self.handle_event(service, Event::Endpoints(candidates));
    }

    fn notify(&self, ticket: Ticket, placement: Placement) {
        let waiter = self.pools.borrow_mut().waiters.remove(&ticket);
        if let Some(waiter) = waiter {
            // A request that was cancelled in the meantime has already left its pool.
            let _sent = waiter.send(placement);
        }
    }

    /// Sends ticks to a pool until no request waits in it.
    async fn tick(self: Rc<Self>, service: Box<str>, pause: Duration) {
        loop {
            compio::time::sleep(pause).await;
            self.handle_event(&service, Event::Tick);
            let mut pools = self.pools.borrow_mut();
            let Some(service_pool) = pools.by_service.get_mut(&service) else {
                return;
            };
            if service_pool.pool.waiting() == 0 {
                service_pool.tick_scheduled = false;
                return;
            }
        }
    }
}
