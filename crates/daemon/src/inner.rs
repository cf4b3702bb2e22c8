//! The calls that this instance answers to others.

use std::{
    cell::RefCell,
    rc::Rc,
    time::Duration, //
};

use codes::Code;
use compio::net::TcpListener;
use tarpc::context::Context;
use wire::{
    Edit,
    Follow,
    Inner,
    Outcome,
    Update, //
};

use crate::{
    convert,
    node::{
        Node,
        epoch_millis, //
    },
    replica::Replica, //
};

/// Time for which a follower waits before it is told that nothing is new.
const FOLLOW_WAIT: Duration = Duration::from_secs(2);

/// Answers other instances' calls.
#[derive(Clone, Debug)]
pub struct Service {
    node: Rc<Node>,
}

/// Accepts connections of other instances until the process ends.
pub async fn accept(node: Rc<Node>, listener: TcpListener) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                let service = Service { node: node.clone() };
                compio::runtime::spawn(wire::serve(stream, service)).detach();
            }
            Err(error) => log::warn!("a connection could not be accepted: {error}"),
        }
    }
}

/// Gives an edit to this instance's own replica.
pub fn edit(node: &Node, replica: &RefCell<Replica>, edit: Edit) -> Outcome {
    let edit = convert::edit(edit, epoch_millis());
    let outcome = replica.borrow_mut().edit(&edit, &node.changed);
    match outcome {
        Ok(outcome) => convert::outcome(outcome),
        Err(error) => {
            log::error!(code = error.code().number(); "{error}");
            Outcome::Refused {
                advice: error.to_string().into(),
                code: Code::EditUnknown,
                version: 0,
            }
        }
    }
}

impl Inner for Service {
    async fn edit(self, _: Context, request: Edit) -> Outcome {
        match &self.node.replica {
            Some(replica) => edit(&self.node, replica, request),
            None => Outcome::Refused {
                advice: "this instance is not a store".into(),
                code: Code::NoLeader,
                version: 0,
            },
        }
    }

    async fn follow(self, _: Context, follow: Follow) -> Option<Update> {
        let replica = self.node.replica.as_ref()?;
        let listener = self.node.changed.listen();
        let update = replica.borrow().update(follow.revision);
        if update.is_some() {
            return update;
        }
        let _notified = compio::time::timeout(FOLLOW_WAIT, listener).await;
        replica.borrow().update(follow.revision)
    }
}
