//! The pools of all services of requests.

use std::{
    collections::BTreeMap,
    rc::Rc,
    time::Duration, //
};

use codes::Code;
use directory::EndpointKey;
use dispatch::{
    Action,
    Candidate,
    Event,
    Limits,
    Observed,
    Pool,
    Ticket, //
};
use futures::channel::oneshot;

use crate::{
    node::Node,
    refused::Refused, //
};

/// Requests that an entry runs and lets wait at once, over all services.
const ENTRY_REQUESTS: usize = 4096;

/// Time for which a pool's endpoints are not read again from the directory.
const REFRESH: Duration = Duration::from_millis(50);

/// Weight at which an endpoint is given all its slots.
const FULL_WEIGHT: u32 = 100;

/// What a request that waits is told.
pub type Placed = Result<EndpointKey, Refused>;

#[derive(Debug)]
struct Served {
    pool: Pool<Observed<EndpointKey>>,
    read: Option<Duration>,
    ticking: bool,
}

/// The pools of all services of requests, and the requests that wait for a place.
#[derive(Debug, Default)]
pub struct Services {
    pools: BTreeMap<Box<str>, Served>,
    serial: u64,
    waiters: BTreeMap<Ticket, oneshot::Sender<Placed>>,
}

impl Services {
    /// Creates the pools of an instance that has served nothing yet.
    pub fn new() -> Self {
        Self::default()
    }

    /// Requests that run at endpoints.
    pub fn total(&self) -> u32 {
        let total: usize = self
            .pools
            .values()
            .map(|served| served.pool.running())
            .sum();
        u32::try_from(total).unwrap_or(u32::MAX)
    }

    /// A number that no other request of this process has.
    pub const fn ticket(&mut self) -> Ticket {
        self.serial += 1;
        Ticket(self.serial)
    }

    fn busy(&self) -> usize {
        let pools = self.pools.values();
        pools
            .map(|served| served.pool.running() + served.pool.waiting())
            .sum()
    }
}

/// Gives a request to its service's pool; the receiver is told where it is placed.
pub fn arrive(
    node: &Rc<Node>,
    service: &str,
    ticket: Ticket,
    deadline: Duration,
) -> oneshot::Receiver<Placed> {
    let receiver = wait(node, ticket);
    if node.dispatch.borrow().busy() >= ENTRY_REQUESTS {
        tell(node, ticket, Err(Refused::new(Code::RequestShed)));
        return receiver;
    }
    refresh(node, service, false);
    give(node, service, Event::Arrived { deadline, ticket });
    receiver
}

/// Registers a request that is about to be placed, for the first time or again.
pub fn wait(node: &Node, ticket: Ticket) -> oneshot::Receiver<Placed> {
    let (sender, receiver) = oneshot::channel();
    node.dispatch.borrow_mut().waiters.insert(ticket, sender);
    receiver
}

/// Gives an event to a service's pool and tells the requests concerned.
pub fn give(node: &Rc<Node>, service: &str, event: Event<EndpointKey>) {
    let now = node.now();
    let (actions, tick) = {
        let mut services = node.dispatch.borrow_mut();
        let Some(served) = services.pools.get_mut(service) else {
            return;
        };
        let actions = served.pool.handle(now, event);
        let tick = served.pool.wake(now).filter(|_| !served.ticking);
        served.ticking |= tick.is_some();
        (actions, tick)
    };
    for action in actions {
        match action {
            Action::Place { key, ticket } => tell(node, ticket, Ok(key)),
            Action::Refuse {
                after,
                code,
                ticket,
            } => tell(node, ticket, Err(Refused::new(code).with_after(after))),
        }
    }
    if let Some(at) = tick {
        let pause = at.saturating_sub(now);
        compio::runtime::spawn(ticks(node.clone(), service.into(), pause)).detach();
    }
}

/// Forgets a request that is no longer wanted.
pub fn leave(node: &Rc<Node>, service: &str, ticket: Ticket) {
    node.dispatch.borrow_mut().waiters.remove(&ticket);
    give(node, service, Event::Left(ticket));
}

/// Reads a service's endpoints from the directory, if they were not read a moment ago.
pub fn refresh(node: &Rc<Node>, service: &str, now_or_never: bool) {
    let now = node.now();
    let fresh = {
        let services = node.dispatch.borrow();
        let read = services.pools.get(service).and_then(|served| served.read);
        read.is_some_and(|read| now.saturating_sub(read) < REFRESH)
    };
    if fresh && !now_or_never {
        return;
    }
    let Some((limits, candidates)) = candidates(node, service) else {
        return;
    };
    {
        let mut services = node.dispatch.borrow_mut();
        let served = services
            .pools
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
    give(node, service, Event::Endpoints(candidates));
}

fn candidates(node: &Node, name: &str) -> Option<(Limits, Vec<Candidate<EndpointKey>>)> {
    let configuration = node.configuration.borrow();
    let service = configuration.service(name)?;
    let directory = node.directory.borrow();
    let now = node.now();
    let candidates = directory
        .by_service(&service.name)
        .filter(|(key, endpoint)| directory.takes(now, *key) && service.allows(&endpoint.name))
        .map(|(key, endpoint)| Candidate {
            key,
            reported: endpoint.load,
            slots: share(endpoint.slots, service.weight(&endpoint.name)),
        })
        .filter(|candidate| candidate.slots > 0)
        .collect();
    Some((limits(service), candidates))
}

/// The slots that an endpoint of a weight is given; a weight of 0 gives none.
fn share(slots: u16, weight: u32) -> u16 {
    match weight {
        0 => 0,
        weight if weight >= FULL_WEIGHT => slots,
        weight => {
            let part = (u32::from(slots) * weight).div_ceil(FULL_WEIGHT);
            u16::try_from(part).unwrap_or(slots)
        }
    }
}

fn limits(service: &settings::Service) -> Limits {
    let count = |value: u32| usize::try_from(value).unwrap_or(usize::MAX);
    Limits::new()
        .with_queue(count(service.limits.queue))
        .with_running(count(service.limits.requests))
        .with_wait(Duration::from_millis(service.limits.queue_ms))
        .with_warm_up(Duration::from_millis(service.change.slow_start))
        .with_retry(service.retry.attempts, service.retry.percent)
}

fn tell(node: &Node, ticket: Ticket, placed: Placed) {
    let waiter = node.dispatch.borrow_mut().waiters.remove(&ticket);
    if let Some(waiter) = waiter {
        // A request that left in the meantime has told its pool itself.
        let _told = waiter.send(placed);
    }
}

/// Wakes a pool until nothing waits in it.
async fn ticks(node: Rc<Node>, service: Box<str>, pause: Duration) {
    loop {
        compio::time::sleep(pause).await;
        give(&node, &service, Event::Tick);
        let mut services = node.dispatch.borrow_mut();
        let Some(served) = services.pools.get_mut(&service) else {
            return;
        };
        if served.pool.waiting() == 0 {
            served.ticking = false;
            return;
        }
    }
}
