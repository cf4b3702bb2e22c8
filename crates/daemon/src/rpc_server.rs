//! The RPC server for calls of other instances.

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
    Edit,
    EditOutcome,
    FollowReply,
    FollowRequest,
    Inner,
    LogMessage,
    Proposal,
    ProposalReply,
    SectionVersion,
    Status,
    StoreIdentity, //
};

use crate::{
    convert_claims,
    node::Node,
    proposals,
    status,
    store_reads, //
};

/// Handles RPC calls of other instances.
#[derive(Clone, Debug)]
pub struct RpcHandler {
    node: Rc<Node>,
}

/// Accepts connections of other instances until the process ends.
pub async fn accept(node: Rc<Node>, listener: TcpListener) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                let service = RpcHandler { node: node.clone() };
                compio::runtime::spawn(wire::serve(stream, service)).detach();
            }
            Err(error) => log::warn!("cannot accept a connection: {error}"),
        }
    }
}

impl Inner for RpcHandler {
    async fn audit(self, _: Context, query: AuditQuery) -> Option<Vec<AuditLine>> {
        let lines = store_reads::audit(&self.node, &query);
        lines.filter(|_| store_reads::in_contact(&self.node))
    }

    async fn beat(self, _: Context) {}

    async fn claim(self, _: Context, claim: Claim) -> ClaimReply {
        let claim = convert_claims::claim_from_wire(claim);
        convert_claims::reply_to_wire(self.node.claims.handle_claim(claim))
    }

    async fn claims(self, _: Context) -> Option<Vec<ClaimRecord>> {
        let records = self.node.claims.records()?;
        Some(
            records
                .into_iter()
                .map(convert_claims::record_to_wire)
                .collect(),
        )
    }

    async fn edit(self, _: Context, edit: Edit) -> EditOutcome {
        proposals::edit(&self.node, edit).await
    }

    async fn follow(self, _: Context, request: FollowRequest) -> Option<FollowReply> {
        store_reads::follow(&self.node, request).await
    }

    async fn history(self, _: Context, section: Box<str>) -> Option<Vec<SectionVersion>> {
        let versions = store_reads::history(&self.node, &section);
        versions.filter(|_| store_reads::in_contact(&self.node))
    }

    async fn identify(self, _: Context) -> Option<StoreIdentity> {
        proposals::identity(&self.node)
    }

    async fn latest(self, _: Context) -> Option<u64> {
        store_reads::latest(&self.node)
    }

    async fn log(self, _: Context, log: LogMessage) {
        match (&self.node.replica, Message::decode(&log.bytes)) {
            (Some(replica), Some(message)) => replica.borrow_mut().receive(log.address, message),
            (Some(_), None) => self.node.metrics.count_refusal(Code::MessageMalformed),
            (None, _) => {}
        }
    }

    async fn propose(self, _: Context, proposal: Proposal) -> ProposalReply {
        proposals::propose_locally(&self.node, proposal).await
    }

    async fn settle(self, _: Context, claim: Claim, end: ClaimEnd) -> bool {
        let claim = convert_claims::claim_from_wire(claim);
        self.node
            .claims
            .record_settled(&claim, convert_claims::claim_end_from_wire(end));
        true
    }

    async fn unused(self, _: Context) -> Option<bool> {
        let replica = self.node.replica.as_ref()?.borrow();
        replica.never_edited(self.node.now())
    }

    async fn status(self, _: Context) -> Status {
        status::page(&self.node)
    }
}
