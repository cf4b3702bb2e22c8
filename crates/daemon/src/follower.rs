//! Following the stores.

use std::{
    cell::RefCell,
    collections::BTreeMap,
    net::SocketAddr,
    rc::Rc,
    time::Duration, //
};

use configuration::Prepared;
use distribution::{
    ASK_TIMEOUT,
    Answer,
    Ask,
    FollowerAction as Action,
    FollowerEvent as Event, //
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
    Client, //
    Follow,
    Followed,
};

use crate::{
    convert_change,
    node::Node,
    replicated,
    stores, //
};

/// Time after which the stores that may be followed are looked up again.
const REFRESH: Duration = Duration::from_millis(500);

/// The connection to a store; the number tells it from earlier ones to the same store.
struct Upstream {
    client: Rc<RefCell<Option<Client>>>,
    number: u64,
}

/// What came of a call; none if it failed.
struct Reply {
    followed: Option<Followed>,
    from: SocketAddr,
    number: u64,
}

/// Follows stores with the calls that the state machine asks for.
struct Following {
    node: Rc<Node>,
    number: u64,
    replies: UnboundedSender<Reply>,
    upstreams: BTreeMap<SocketAddr, Upstream>,
}

/// Takes newer documents into force until the process ends.
pub async fn follow(node: Rc<Node>) {
    if node.replica.is_some() {
        return own(node).await;
    }
    let (sender, receiver) = unbounded();
    let following = Following {
        node,
        number: 0,
        replies: sender,
        upstreams: BTreeMap::new(),
    };
    following.run(receiver).await;
}

impl Following {
    async fn run(mut self, mut replies: UnboundedReceiver<Reply>) {
        let mut known = Vec::new();
        loop {
            let stores = stores::ranked(&self.node);
            if stores != known {
                known.clone_from(&stores);
                self.handle(Event::Upstreams(stores), None);
            }
            match compio::time::timeout(self.pause(), replies.next()).await {
                Ok(Some(reply)) => self.reply(reply),
                Ok(None) => return,
                Err(_) => self.handle(Event::Tick, None),
            }
        }
    }

    /// Time until the state machine or the look-up of stores is due.
    fn pause(&self) -> Duration {
        let wake = self.node.spread.follower.borrow().wake();
        wake.map_or(REFRESH, |wake| {
            wake.saturating_sub(self.node.now()).min(REFRESH)
        })
    }

    fn reply(&mut self, reply: Reply) {
        let from = reply.from;
        let current = self.upstreams.get(&from).map(|upstream| upstream.number);
        if current != Some(reply.number) {
            return;
        }
        let Some(followed) = reply.followed else {
            return self.handle(Event::Lost(from), None);
        };
        let changed = match followed.delta {
            Some(delta) => {
                let change = convert_change::delta(delta);
                self.node.known.configuration.borrow().prepare(change)
            }
            None => Ok(None),
        };
        match changed {
            Ok(next) => {
                let answer = Answer {
                    confirmed: followed.confirmed,
                    revision: followed.revision,
                    update: next.is_some(),
                };
                self.handle(Event::Answer { answer, from }, next);
            }
            Err(error) => {
                self.node.metrics.refuse(error.result_code());
                log::error!(code = error.result_code().number(), revision = followed.revision;
                    "{error}");
                self.handle(Event::Lost(from), None);
            }
        }
    }

    fn handle(&mut self, event: Event<SocketAddr>, next: Option<Prepared>) {
        let now = self.node.now();
        let actions = self.node.spread.follower.borrow_mut().handle(now, event);
        let mut next = next;
        for action in actions {
            match action {
                Action::Ask { ask, to } => self.ask(ask, to),
                Action::Close(key) => {
                    log::info!("the store at {key} is no longer followed");
                    self.upstreams.remove(&key);
                }
                Action::Take(_) => {
                    if let Some(next) = next.take() {
                        take(&self.node, next);
                    }
                }
            }
        }
    }

    fn ask(&mut self, ask: Ask, to: SocketAddr) {
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
            let followed = call(&client, to, ask).await;
            // The receiver lives as long as the process.
            let _sent = replies.unbounded_send(Reply {
                followed,
                from: to,
                number,
            });
        };
        compio::runtime::spawn(call).detach();
    }
}

async fn call(client: &RefCell<Option<Client>>, to: SocketAddr, ask: Ask) -> Option<Followed> {
    let known = client.borrow().clone();
    let connected = match known {
        Some(connected) => connected,
        None => stores::connect(to).await?,
    };
    client.replace(Some(connected.clone()));
    let follow = Follow {
        brief: ask.brief,
        fresh: ask.fresh,
        revision: ask.revision,
    };
    let call = connected.follow(context::current(), follow);
    compio::time::timeout(ASK_TIMEOUT, call).await.ok()?.ok()?
}

/// Takes the documents of this instance's own replica into force.
async fn own(node: Rc<Node>) {
    let Some(replica) = &node.replica else {
        return;
    };
    loop {
        let listener = node.changed.listen();
        let revision = node.known.configuration.borrow().revision();
        let update = replicated::update(&replica.borrow(), revision);
        let next = update.map(|update| {
            let change = convert_change::update(update);
            node.known.configuration.borrow().prepare(change)
        });
        match next {
            Some(Ok(Some(next))) => take(&node, next),
            Some(Err(error)) => {
                node.metrics.refuse(error.result_code());
                log::error!(code = error.result_code().number(); "{error}");
                listener.await;
            }
            Some(Ok(None)) | None => listener.await,
        }
    }
}

fn take(node: &Node, next: Prepared) {
    let revision = next.revision();
    if !node.known.configuration.borrow_mut().apply(next) {
        return;
    }
    let gauge = i64::try_from(revision).unwrap_or(i64::MAX);
    node.metrics.revision.set(gauge);
    node.spread.updated.notify(usize::MAX);
    log::info!(revision; "a new document is in force");
}
