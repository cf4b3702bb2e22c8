//! Delivery of Raft messages to the other stores.

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

/// Time limit for a store to acknowledge a message.
const CALL_TIMEOUT: Duration = Duration::from_secs(1);

/// Time limit for opening a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// Pause before the next connection attempt.
const RETRY_DELAY: Duration = Duration::from_millis(50);

/// Maximum number of messages queued for one store; the oldest is dropped first.
const MAX_QUEUED_MESSAGES: usize = 64;

/// Queue of the messages for one store.
#[derive(Debug, Default)]
struct PeerQueue {
    messages: RefCell<VecDeque<Vec<u8>>>,
    queued: Event,
}

impl PeerQueue {
    async fn next(&self) -> Vec<u8> {
        loop {
            let listener = self.queued.listen();
            if let Some(bytes) = self.messages.borrow_mut().pop_front() {
                return bytes;
            }
            listener.await;
        }
    }
}

/// Sends messages to the other stores, with a queue and a task for each.
#[derive(Debug)]
pub struct RaftTransport {
    queues: BTreeMap<SocketAddr, Rc<PeerQueue>>,
    node: Rc<Node>,
}

impl RaftTransport {
    /// Creates the transport of a store, without connections.
    pub const fn new(node: Rc<Node>) -> Self {
        Self {
            queues: BTreeMap::new(),
            node,
        }
    }

    /// Queues a message for the store at `address`; delivery is not guaranteed.
    pub fn send(&mut self, address: SocketAddr, bytes: Vec<u8>) {
        let queue = self.queues.entry(address).or_insert_with(|| {
            let queue = Rc::new(PeerQueue::default());
            let task = deliver(self.node.clone(), address, queue.clone());
            compio::runtime::spawn(task).detach();
            queue
        });
        let mut messages = queue.messages.borrow_mut();
        messages.push_back(bytes);
        if messages.len() > MAX_QUEUED_MESSAGES {
            messages.pop_front();
        }
        queue.queued.notify(usize::MAX);
    }
}

/// Connects to a store; none if that fails or times out.
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

/// Delivers the queued messages to one store until the process ends.
async fn deliver(node: Rc<Node>, address: SocketAddr, queue: Rc<PeerQueue>) {
    loop {
        let mut bytes = queue.next().await;
        let Some(client) = connect(address).await else {
            queue.messages.borrow_mut().clear();
            compio::time::sleep(RETRY_DELAY).await;
            continue;
        };
        loop {
            let message = LogMessage {
                address: node.addresses.inner,
                bytes,
            };
            let call = client.log(context::current(), message);
            if !matches!(compio::time::timeout(CALL_TIMEOUT, call).await, Ok(Ok(()))) {
                log::info!(
                    "the store at {address} did not acknowledge a message; dropping its queue"
                );
                queue.messages.borrow_mut().clear();
                break;
            }
            bytes = queue.next().await;
        }
    }
}
