//! The process around the store's driver.

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
    Replica,
    Surroundings, //
};
use store::{
    Folder,
    Message,
    Revision, //
};

use crate::{
    links::Links,
    node::Node, //
};

/// The process around the store's driver.
struct Around<'a> {
    links: RefCell<Links>,
    node: &'a Node,
    replica: &'a RefCell<Replica>,
    /// Revision that followers were told of last.
    revision: Cell<Revision>,
}

/// Runs the store until the process ends; an instance without one returns at once.
pub async fn run(node: Rc<Node>, folder: Folder) {
    let Some(replica) = &node.replica else {
        return;
    };
    let around = Around {
        links: RefCell::new(Links::new(node.clone())),
        node: &node,
        replica,
        revision: Cell::new(replica.borrow().ledger().revision()),
    };
    replica::run(&around, folder).await;
}

impl Surroundings for Around<'_> {
    fn handled(&self) {
        let revision = self.replica.borrow().ledger().revision();
        if revision > self.revision.get() {
            self.revision.set(revision);
            self.node.spread.record(&self.replica.borrow());
            self.node.changed.notify(usize::MAX);
        }
    }

    fn now(&self) -> Duration {
        self.node.now()
    }

    fn replica(&self) -> &RefCell<Replica> {
        self.replica
    }

    fn send(&self, to: SocketAddr, message: &Message) {
        self.links.borrow_mut().send(to, message.encode());
    }
}
