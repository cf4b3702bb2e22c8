//! I/O of the replica's driver.

use std::{
    cell::{
        Cell,
        RefCell, //
    },
    net::SocketAddr,
    rc::Rc,
    time::Duration, //
};

use replica::{
    Environment,
    Replica, //
};
use store::{
    DataFolder,
    Message,
    Revision, //
};

use crate::{
    node::Node,
    raft_transport::RaftTransport, //
};

/// Connects the replica's driver to the network, the clock and the followers.
struct ReplicaIo<'a> {
    transport: RefCell<RaftTransport>,
    node: &'a Node,
    replica: &'a RefCell<Replica>,
    /// Latest revision that followers were notified of.
    revision: Cell<Revision>,
}

/// Runs the replica until the process ends; returns at once on an instance without one.
pub async fn run(node: Rc<Node>, folder: DataFolder) {
    let Some(replica) = &node.replica else {
        return;
    };
    let io = ReplicaIo {
        transport: RefCell::new(RaftTransport::new(node.clone())),
        node: &node,
        replica,
        revision: Cell::new(replica.borrow().ledger().revision()),
    };
    replica::run(&io, folder).await;
}

impl Environment for ReplicaIo<'_> {
    fn on_handled(&self) {
        let revision = self.replica.borrow().ledger().revision();
        if revision > self.revision.get() {
            self.revision.set(revision);
            self.node.document_sync.record(&self.replica.borrow());
            self.node.replica_changed.notify(usize::MAX);
        }
    }

    fn now(&self) -> Duration {
        self.node.now()
    }

    fn replica(&self) -> &RefCell<Replica> {
        self.replica
    }

    fn send(&self, to: SocketAddr, message: &Message) {
        self.transport.borrow_mut().send(to, message.encode());
    }
}
