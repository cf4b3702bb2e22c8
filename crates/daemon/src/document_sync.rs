//! Distribution of the document from the stores to this instance and its followers.

use std::{
    cell::RefCell,
    net::SocketAddr,
    time::Duration, //
};

use distribution::Follower;
use event_listener::Event;
use replica::Replica;
use wire::{
    FollowReply,
    FollowRequest, //
};

use crate::{
    published::Published,
    replica_document, //
};

/// State of the document's distribution to and from this instance.
#[derive(Debug, Default)]
pub struct DocumentSync {
    /// State machine that follows the stores; unused by a store.
    pub follower: RefCell<Follower<SocketAddr>>,
    /// Notified when a new document has come into force.
    pub updated: Event,
    published: RefCell<Published>,
}

impl DocumentSync {
    /// Answers a follower from this store's replica; `now` is the time since the process started.
    pub fn answer(
        &self,
        replica: &RefCell<Replica>,
        now: Duration,
        request: FollowRequest,
    ) -> FollowReply {
        let replica = replica.borrow();
        self.record(&replica);
        let published = self.published.borrow();
        FollowReply {
            confirmed: replica.in_contact(now),
            delta: published.since(request.revision).filter(|_| !request.brief),
            revision: published.revision(),
        }
    }

    /// Records changes of this store's replica, so that followers are sent only the sections that
    /// changed.
    pub fn record(&self, replica: &Replica) {
        let mut published = self.published.borrow_mut();
        if let Some(snapshot) = replica_document::snapshot_since(replica, published.revision()) {
            published.record(snapshot);
        }
    }
}
