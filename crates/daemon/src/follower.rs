//! Follows the stores and applies newer documents.

use std::{
    cell::RefCell,
    collections::BTreeMap,
    net::SocketAddr,
    rc::Rc,
    time::Duration, //
};

use configuration::PreparedChange;
use distribution::{
    Answer,
    FollowerAction as Action,
    FollowerEvent as Event,
    POLL_TIMEOUT,
    Poll, //
};
use futures::{
    StreamExt,
    channel::mpsc::{
        UnboundedReceiver,
        UnboundedSender,
        unbounded, //
    },
};
use tarpc::context;
use wire::{
    Client,
    FollowReply,
    FollowRequest, //
};

use crate::{
    convert_change,
    node::Node,
    replica_document,
    store_client, //
};

/// Interval at which the list of stores is refreshed.
const REFRESH_INTERVAL: Duration = Duration::from_millis(500);

/// A connection to a store; the number distinguishes it from earlier ones to the same store.
struct Upstream {
    client: Rc<RefCell<Option<Client>>>,
    number: u64,
}

/// The result of a call; `follow_reply` is none if it failed.
struct Reply {
    follow_reply: Option<FollowReply>,
    from: SocketAddr,
    number: u64,
}

/// Makes the calls to the stores that the state machine requests.
struct FollowerTask {
    node: Rc<Node>,
    number: u64,
    replies: UnboundedSender<Reply>,
    upstreams: BTreeMap<SocketAddr, Upstream>,
}

/// Applies newer documents until the process ends.
pub async fn follow(node: Rc<Node>) {
    if node.replica.is_some() {
        return follow_replica(node).await;
    }
    let (sender, receiver) = unbounded();
    let task = FollowerTask {
        node,
        number: 0,
        replies: sender,
        upstreams: BTreeMap::new(),
    };
    task.run(receiver).await;
}

impl FollowerTask {
    async fn run(mut self, mut replies: UnboundedReceiver<Reply>) {
        let mut previous = Vec::new();
        loop {
            let stores = store_client::ranked_addresses(&self.node);
            if stores != previous {
                previous.clone_from(&stores);
                self.handle(Event::Upstreams(stores), None);
            }
            match compio::time::timeout(self.wait_time(), replies.next()).await {
                Ok(Some(reply)) => self.handle_reply(reply),
                Ok(None) => return,
                Err(_) => self.handle(Event::Tick, None),
            }
        }
    }

    /// Returns the time until the next tick or refresh of the stores is due.
    fn wait_time(&self) -> Duration {
        let next_tick = self.node.document_sync.follower.borrow().next_tick();
        next_tick.map_or(REFRESH_INTERVAL, |next_tick| {
            next_tick
                .saturating_sub(self.node.now())
                .min(REFRESH_INTERVAL)
        })
    }

    fn handle_reply(&mut self, reply: Reply) {
        let from = reply.from;
        let current = self.upstreams.get(&from).map(|upstream| upstream.number);
        if current != Some(reply.number) {
            return;
        }
        let Some(follow_reply) = reply.follow_reply else {
            return self.handle(Event::Lost(from), None);
        };
        let changed = match follow_reply.delta {
            Some(delta) => {
                let change = convert_change::change_from_delta(delta);
                self.node.view.configuration.borrow().prepare(change)
            }
            None => Ok(None),
        };
        match changed {
            Ok(next) => {
                let answer = Answer {
                    confirmed: follow_reply.confirmed,
                    revision: follow_reply.revision,
                    update: next.is_some(),
                };
                self.handle(Event::Answer { answer, from }, next);
            }
            Err(error) => {
                self.node.metrics.count_refusal(error.result_code());
                log::error!(code = error.result_code().number(), revision = follow_reply.revision;
                    "{error}");
                self.handle(Event::Lost(from), None);
            }
        }
    }

    fn handle(&mut self, event: Event<SocketAddr>, next: Option<PreparedChange>) {
        let now = self.node.now();
        let actions = self
            .node
            .document_sync
            .follower
            .borrow_mut()
            .handle(now, event);
        let mut next = next;
        for action in actions {
            match action {
                Action::Apply(_) => {
                    if let Some(next) = next.take() {
                        apply(&self.node, next);
                    }
                }
                Action::Close(key) => {
                    log::info!("the store at {key} is no longer followed");
                    self.upstreams.remove(&key);
                }
                Action::Poll { poll, to } => self.poll_store(poll, to),
            }
        }
    }

    fn poll_store(&mut self, poll: Poll, to: SocketAddr) {
        self.number += 1;
        let number = self.number;
        let upstream = self.upstreams.entry(to).or_insert_with(|| Upstream {
            client: Rc::default(),
            number,
        });
        let number = upstream.number;
        let client = upstream.client.clone();
        let replies = self.replies.clone();
        let call = async move {
            let follow_reply = call(&client, to, poll).await;
            // The receiver lives as long as the process.
            let _sent = replies.unbounded_send(Reply {
                follow_reply,
                from: to,
                number,
            });
        };
        compio::runtime::spawn(call).detach();
    }
}

async fn call(client: &RefCell<Option<Client>>, to: SocketAddr, poll: Poll) -> Option<FollowReply> {
    let open = client.borrow().clone();
    let connected = match open {
        Some(connected) => connected,
        None => store_client::connect(to).await?,
    };
    client.replace(Some(connected.clone()));
    let request = FollowRequest {
        brief: poll.brief,
        fresh: poll.fresh,
        revision: poll.revision,
    };
    let call = connected.follow(context::current(), request);
    compio::time::timeout(POLL_TIMEOUT, call).await.ok()?.ok()?
}

/// Applies the documents of this instance's own replica until the process ends.
async fn follow_replica(node: Rc<Node>) {
    let Some(replica) = &node.replica else {
        return;
    };
    loop {
        let listener = node.replica_changed.listen();
        let revision = node.view.configuration.borrow().revision();
        let snapshot = replica_document::snapshot_since(&replica.borrow(), revision);
        let next = snapshot.map(|snapshot| {
            let change = convert_change::change_from_snapshot(snapshot);
            node.view.configuration.borrow().prepare(change)
        });
        match next {
            Some(Ok(Some(next))) => apply(&node, next),
            Some(Err(error)) => {
                node.metrics.count_refusal(error.result_code());
                log::error!(code = error.result_code().number(); "{error}");
                listener.await;
            }
            Some(Ok(None)) | None => listener.await,
        }
    }
}

fn apply(node: &Node, next: PreparedChange) {
    let revision = next.revision();
    if !node.view.configuration.borrow_mut().apply(next) {
        return;
    }
    let gauge = i64::try_from(revision).unwrap_or(i64::MAX);
    node.metrics.revision.set(gauge);
    node.document_sync.updated.notify(usize::MAX);
    log::info!(revision; "a new document is in force");
}
