//! The calls that this instance answers to others.

use std::{
    rc::Rc,
    time::Duration, //
};

use codes::Code;
use compio::net::TcpListener;
use store::Message;
use tarpc::context::Context;
use wire::{
    Claim,
    ClaimEnd,
    ClaimRecord,
    ClaimReply,
    Decision,
    Edit,
    Follow,
    Identity,
    Inner,
    LogMessage,
    Outcome,
    Proposal,
    Update, //
};

use crate::{
    claims,
    convert_claims,
    node::Node,
    proposals, //
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

impl Inner for Service {
    async fn claim(self, _: Context, claim: Claim) -> ClaimReply {
        let claim = convert_claims::received(claim);
        convert_claims::replied(claims::reply(&self.node, claim))
    }

    async fn claims(self, _: Context) -> Option<Vec<ClaimRecord>> {
        let records = claims::records(&self.node)?;
        Some(records.into_iter().map(convert_claims::recorded).collect())
    }

    async fn edit(self, _: Context, edit: Edit) -> Outcome {
        proposals::edit(&self.node, edit).await
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

    async fn identify(self, _: Context) -> Option<Identity> {
        proposals::identity(&self.node)
    }

    async fn log(self, _: Context, log: LogMessage) {
        match (&self.node.replica, Message::decode(&log.bytes)) {
            (Some(replica), Some(message)) => replica.borrow_mut().receive(log.address, message),
            (Some(_), None) => self.node.metrics.refuse(Code::MessageMalformed),
            (None, _) => {}
        }
    }

    async fn propose(self, _: Context, proposal: Proposal) -> Decision {
        proposals::decide(&self.node, proposal).await
    }

    async fn settle(self, _: Context, claim: Claim, end: ClaimEnd) -> bool {
        let claim = convert_claims::received(claim);
        claims::settled(&self.node, &claim, convert_claims::ended(end));
        true
    }

    async fn unused(self, _: Context) -> bool {
        let replica = self.node.replica.as_ref();
        replica.is_some_and(|replica| replica.borrow().update(0).is_none())
    }
}
