//! The calls that this instance answers to others.

use std::{
    cell::RefCell,
    rc::Rc, //
};

use codes::Code;
use compio::net::TcpListener;
use tarpc::context::Context;
use wire::{
    AuditLine,
    AuditQuery,
    Edit,
    Follow,
    Followed,
    Inner,
    Outcome,
    PastVersion, //
};

use crate::{
    convert,
    node::{
        Node,
        epoch_millis, //
    },
    replica::Replica,
    serving, //
};

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
    async fn audit(self, _: Context, query: AuditQuery) -> Option<Vec<AuditLine>> {
        let lines = serving::audit(&self.node, &query);
        lines.filter(|_| serving::confirmed(&self.node))
    }

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

    async fn follow(self, _: Context, follow: Follow) -> Option<Followed> {
        serving::follow(&self.node, follow).await
    }

    async fn history(self, _: Context, section: Box<str>) -> Option<Vec<PastVersion>> {
        let versions = serving::history(&self.node, &section);
        versions.filter(|_| serving::confirmed(&self.node))
    }
}
