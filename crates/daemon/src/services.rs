//! The pools of all services of requests.

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
    Observed,
    Pool,
    Ticket, //
};
use futures::channel::oneshot;

use crate::{
    candidates::candidates,
    known::Known,
    refused::Refused, //
};

/// Requests that an entry runs and lets wait at once, over all services.
const ENTRY_REQUESTS: usize = 4096;

/// Time for which a pool's endpoints are not read again from the directory.
const REFRESH: Duration = Duration::from_millis(50);

/// What a request that waits is told.
pub type Placed = Result<EndpointKey, Refused>;

#[derive(Debug)]
struct Served {
    pool: Pool<Observed<EndpointKey>>,
    read: Option<Duration>,
    ticking: bool,
}

#[derive(Debug, Default)]
struct Pools {
    by_service: BTreeMap<Box<str>, Served>,
    serial: u64,
    waiters: BTreeMap<Ticket, oneshot::Sender<Placed>>,
}

impl Pools {
    /// Requests that run or wait.
    fn busy(&self) -> usize {
        let pools = self.by_service.values();
        pools
            .map(|served| served.pool.running() + served.pool.waiting())
            .sum()
    }
}

/// The pools of all services of requests, and the requests that wait for a place.
#[derive(Debug)]
pub struct Services {
    known: Rc<Known>,
    pools: RefCell<Pools>,
}

impl Services {
    /// Creates the pools of an instance that has served nothing yet.
    pub fn new(known: Rc<Known>) -> Self {
        Self {
            known,
            pools: RefCell::default(),
        }
    }

    /// Requests that run at endpoints.
    pub fn total(&self) -> u32 {
        let pools = self.pools.borrow();
        let pools = pools.by_service.values();
        let total: usize = pools.map(|served| served.pool.running()).sum();
        u32::try_from(total).unwrap_or(u32::MAX)
    }

    /// A number that no other request of this process has.
    pub fn ticket(&self) -> Ticket {
        let mut pools = self.pools.borrow_mut();
        pools.serial += 1;
        Ticket(pools.serial)
    }

    /// Gives a request to its service's pool; the receiver is told where it is placed.
    pub fn arrive(
        self: &Rc<Self>,
        service: &str,
        ticket: Ticket,
        deadline: Duration,
    ) -> oneshot::Receiver<Placed> {
        let receiver = self.wait(ticket);
        if self.pools.borrow().busy() >= ENTRY_REQUESTS {
            self.tell(ticket, Err(Refused::new(Code::RequestShed)));
            return receiver;
        }
        self.refresh(service, false);
        self.give(service, Event::Arrived { deadline, ticket });
        receiver
    }

    /// Registers a request that is about to be placed, for the first time or again.
    pub fn wait(&self, ticket: Ticket) -> oneshot::Receiver<Placed> {
        let (sender, receiver) = oneshot::channel();
        self.pools.borrow_mut().waiters.insert(ticket, sender);
        receiver
    }

    /// Gives an event to a service's pool and tells the requests concerned.
    pub fn give(self: &Rc<Self>, service: &str, event: Event<EndpointKey>) {
        let now = self.known.now();
        let (actions, tick) = {
            let mut pools = self.pools.borrow_mut();
            let Some(served) = pools.by_service.get_mut(service) else {
                return;
            };
            let actions = served.pool.handle(now, event);
            let tick = served.pool.wake(now).filter(|_| !served.ticking);
            served.ticking |= tick.is_some();
            (actions, tick)
        };
        for action in actions {
            match action {
                Action::Place { key, ticket } => self.tell(ticket, Ok(key)),
                Action::Refuse {
                    after,
                    code,
                    ticket,
                } => self.tell(ticket, Err(Refused::new(code).with_after(after))),
            }
        }
        if let Some(at) = tick {
            let pause = at.saturating_sub(now);
            compio::runtime::spawn(self.clone().tick(service.into(), pause)).detach();
        }
    }

    /// Forgets a request that is no longer wanted.
    pub fn leave(self: &Rc<Self>, service: &str, ticket: Ticket) {
        self.pools.borrow_mut().waiters.remove(&ticket);
        self.give(service, Event::Left(ticket));
    }

    /// Reads a service's endpoints from the directory, if they were not read a moment ago or
    /// `stale` says that they are known to be out of date.
    pub fn refresh(self: &Rc<Self>, service: &str, stale: bool) {
        let now = self.known.now();
        let fresh = {
            let pools = self.pools.borrow();
            let read = pools.by_service.get(service);
            let read = read.and_then(|served| served.read);
            read.is_some_and(|read| now.saturating_sub(read) < REFRESH)
        };
        if fresh && !stale {
            return;
        }
        let Some((limits, candidates)) = candidates(&self.known, service) else {
            return;
        };
        {
            let mut pools = self.pools.borrow_mut();
            let served = pools
                .by_service
                .entry(service.into())
                .or_insert_with(|| Served {
                    pool: Pool::new(Observed::new(rand::random()), limits),
                    read: None,
                    ticking: false,
                });
            served.pool.limit(limits);
            // An empty service is looked at again at once, so that its first endpoint serves at once.
            served.read = (!candidates.is_empty()).then_some(now);
        }
        self.give(service, Event::Endpoints(candidates));
    }

    fn tell(&self, ticket: Ticket, placed: Placed) {
        let waiter = self.pools.borrow_mut().waiters.remove(&ticket);
        if let Some(waiter) = waiter {
            // A request that left in the meantime has told its pool itself.
            let _told = waiter.send(placed);
        }
    }

    /// Wakes a pool until nothing waits in it.
    async fn tick(self: Rc<Self>, service: Box<str>, pause: Duration) {
        loop {
            compio::time::sleep(pause).await;
            self.give(&service, Event::Tick);
            let mut pools = self.pools.borrow_mut();
            let Some(served) = pools.by_service.get_mut(&service) else {
                return;
            };
            if served.pool.waiting() == 0 {
                served.ticking = false;
                return;
            }
        }
    }
}
