//! Messages of the log on their way to the other stores.

use std::{
    cell::RefCell,
    collections::{
        BTreeMap,
        VecDeque, //
    },
    net::SocketAddr,
    rc::Rc,
    time::Duration, //
};

use event_listener::Event;
use tarpc::context;
use wire::{
    Client,
    LogMessage, //
};

use crate::node::Node;

/// Time after which a store that does not take a message is given up.
const CALL_TIMEOUT: Duration = Duration::from_secs(1);

/// Time after which a connection that is not made is given up.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// Pause before a connection is tried again.
const PAUSE: Duration = Duration::from_millis(50);

/// Most messages that wait for one store; the oldest is lost first.
const QUEUED_MESSAGES: usize = 64;

/// The messages that wait for one store.
#[derive(Debug, Default)]
struct Link {
    queue: RefCell<VecDeque<Vec<u8>>>,
    wake: Event,
}

impl Link {
    async fn next(&self) -> Vec<u8> {
        loop {
            let listener = self.wake.listen();
            if let Some(bytes) = self.queue.borrow_mut().pop_front() {
                return bytes;
            }
            listener.await;
        }
    }
}

/// A queue and a task for each other store.
#[derive(Debug)]
pub struct Links {
    links: BTreeMap<SocketAddr, Rc<Link>>,
    node: Rc<Node>,
}

impl Links {
    /// Creates the links of a store; none is open.
    pub const fn new(node: Rc<Node>) -> Self {
        Self {
            links: BTreeMap::new(),
            node,
        }
    }

    /// Sends a message to the store at `address`; it may be lost.
    pub fn send(&mut self, address: SocketAddr, bytes: Vec<u8>) {
        let link = self.links.entry(address).or_insert_with(|| {
            let link = Rc::new(Link::default());
            let task = carry(self.node.clone(), address, link.clone());
            compio::runtime::spawn(task).detach();
            link
        });
        let mut queue = link.queue.borrow_mut();
        queue.push_back(bytes);
        if queue.len() > QUEUED_MESSAGES {
            queue.pop_front();
        }
        link.wake.notify(usize::MAX);
    }
}

/// Connects to a store; none if it does not answer in time.
pub async fn connect(address: SocketAddr) -> Option<Client> {
    match compio::time::timeout(CONNECT_TIMEOUT, wire::connect(address)).await {
        Ok(Ok(client)) => Some(client),
        Ok(Err(error)) => {
            log::debug!(code = error.code().number(); "{error}");
            None
        }
        Err(_) => None,
    }
}

/// Carries the messages to one store until the process ends.
async fn carry(node: Rc<Node>, address: SocketAddr, link: Rc<Link>) {
    loop {
        let mut bytes = link.next().await;
        let Some(client) = connect(address).await else {
            link.queue.borrow_mut().clear();
            compio::time::sleep(PAUSE).await;
            continue;
        };
        loop {
            let message = LogMessage {
                address: node.addresses.inner,
                bytes,
            };
            let call = client.log(context::current(), message);
            if !matches!(compio::time::timeout(CALL_TIMEOUT, call).await, Ok(Ok(()))) {
                log::info!("the store at {address} does not take messages");
                link.queue.borrow_mut().clear();
                break;
            }
            bytes = link.next().await;
        }
    }
}
