//! The document's way from the stores to this instance and on.

use std::{
    cell::RefCell,
    net::SocketAddr,
    time::Duration, //
};

use distribution::Follower;
use event_listener::Event;
use replica::Replica;
use wire::{
    Follow,
    Followed, //
};

use crate::{
    published::Published,
    replicated, //
};

/// The document's way from the stores to this instance and on.
#[derive(Debug, Default)]
pub struct Spread {
    /// Which stores the instance follows; unused by a store.
    pub follower: RefCell<Follower<SocketAddr>>,
    /// Notified when a new document is in force.
    pub updated: Event,
    published: RefCell<Published>,
}

impl Spread {
    /// Answers a follower from this store's replica, at `now` since the process started.
    pub fn answer(&self, replica: &RefCell<Replica>, now: Duration, follow: Follow) -> Followed {
        let replica = replica.borrow();
        self.record(&replica);
        let published = self.published.borrow();
        Followed {
            confirmed: replica.confirmed(now),
            delta: published.since(follow.revision).filter(|_| !follow.brief),
            revision: published.revision(),
        }
    }

    /// Takes note of what has changed in this store's replica, so that followers are sent no more.
    pub fn record(&self, replica: &Replica) {
        let mut published = self.published.borrow_mut();
        if let Some(update) = replicated::update(replica, published.revision()) {
            published.record(update);
        }
    }
}
