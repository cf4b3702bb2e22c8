//! The calls that this instance answers to others.

use std::{
    rc::Rc, //
};

use codes::Code;
use compio::net::TcpListener;
use store::Message;
use tarpc::context::Context;
use wire::{
    AuditLine,
    AuditQuery,
    Claim,
    ClaimEnd,
    ClaimRecord,
    ClaimReply,
    Decision,
    Edit,
    Follow,
    Followed,
    Identity,
    Inner,
    LogMessage,
    Outcome,
    PastVersion,
    Proposal,
    Status, //
};

use crate::{
    convert_claims,
    node::Node,
    proposals,
    serving,
    status, //
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

impl Inner for Service {
    async fn audit(self, _: Context, query: AuditQuery) -> Option<Vec<AuditLine>> {
        let lines = serving::audit(&self.node, &query);
        lines.filter(|_| serving::confirmed(&self.node))
    }

    async fn beat(self, _: Context) {}

    async fn claim(self, _: Context, claim: Claim) -> ClaimReply {
        let claim = convert_claims::received(claim);
        convert_claims::replied(self.node.claims.reply(claim))
    }

    async fn claims(self, _: Context) -> Option<Vec<ClaimRecord>> {
        let records = self.node.claims.records()?;
        Some(records.into_iter().map(convert_claims::recorded).collect())
    }

    async fn edit(self, _: Context, edit: Edit) -> Outcome {
        proposals::edit(&self.node, edit).await
    }

    async fn follow(self, _: Context, follow: Follow) -> Option<Followed> {
        serving::follow(&self.node, follow).await
    }

    async fn history(self, _: Context, section: Box<str>) -> Option<Vec<PastVersion>> {
        let versions = serving::history(&self.node, &section);
        versions.filter(|_| serving::confirmed(&self.node))
    }

    async fn identify(self, _: Context) -> Option<Identity> {
        proposals::identity(&self.node)
    }

    async fn latest(self, _: Context) -> Option<u64> {
        serving::latest(&self.node)
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
        self.node.claims.settled(&claim, convert_claims::ended(end));
        true
    }

    async fn unused(self, _: Context) -> Option<bool> {
        let replica = self.node.replica.as_ref()?.borrow();
        replica.unused(self.node.now())
    }

    async fn status(self, _: Context) -> Status {
        status::page(&self.node)
    }
}
