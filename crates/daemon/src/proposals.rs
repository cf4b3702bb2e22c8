//! Proposals, which only the leader of the stores can accept.

use std::{
    net::SocketAddr,
    rc::Rc,
    time::Duration, //
};

use codes::Code;
use process::epoch_millis;
use store::{
    Answer,
    Change,
    Event,
    Member,
    StoreId, //
};
use tarpc::context;
use wire::{
    Edit,
    EditOutcome,
    Proposal,
    ProposalReply,
    StoreAddress,
    StoreIdentity, //
};

use crate::{
    convert,
    node::Node,
    raft_transport, //
};

/// Time after which the outcome of a proposal counts as unknown.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(3);

/// Time limit for a store to identify itself.
const IDENTIFY_TIMEOUT: Duration = Duration::from_secs(1);

/// Proposes an edit to the leader, which may be this instance.
pub async fn edit(node: &Rc<Node>, edit: Edit) -> EditOutcome {
    match propose(node, Proposal::Edit(edit)).await {
        ProposalReply::Changed => refused(Code::EditUnknown, "the leader gave no outcome".into()),
        ProposalReply::Outcome(outcome) => outcome,
        ProposalReply::Refused(code, advice) => refused(code, advice),
    }
}

/// Submits a proposal to the leader, which may be this instance. It is refused at once if no leader
/// can accept it.
pub async fn propose(node: &Rc<Node>, proposal: Proposal) -> ProposalReply {
    let Some(replica) = &node.replica else {
        return no_leader("this instance is not a store");
    };
    if replica.borrow().raft().is_leader() {
        return propose_locally(node, proposal).await;
    }
    if replica.borrow().raft().cluster().is_none() {
        let advice = "this store has not been initialised; run `mimosausher init`";
        return ProposalReply::Refused(Code::NotInitialised, advice.into());
    }
    let now = node.now();
    let leader = replica
        .borrow()
        .raft()
        .leader(now)
        .map(|leader| leader.address);
    match leader {
        Some(leader) => forward(leader, proposal).await,
        None => no_leader("no leader is known"),
    }
}

/// Submits a proposal to this store's replica, which refuses it unless it is the leader.
pub async fn propose_locally(node: &Rc<Node>, proposal: Proposal) -> ProposalReply {
    let Some(replica) = &node.replica else {
        return no_leader("this instance is not a store");
    };
    let receiver = match proposal {
        Proposal::Add(store) => match identify_member(node, store).await {
            Ok(member) => {
                let change = Change::Add(member);
                let event = |token| Event::Change(change, token);
                replica.borrow_mut().submit(event)
            }
            Err(refusal) => return refusal,
        },
        Proposal::Edit(edit) => {
            let edit = convert::edit_from_wire(edit, epoch_millis());
            replica
                .borrow_mut()
                .submit(|token| Event::Edit(edit, token))
        }
        Proposal::Remove(name) => {
            let change = Change::Remove(name);
            let event = |token| Event::Change(change, token);
            replica.borrow_mut().submit(event)
        }
    };
    match compio::time::timeout(ANSWER_TIMEOUT, receiver).await {
        Ok(Ok(Answer::Changed)) => ProposalReply::Changed,
        Ok(Ok(Answer::Outcome(outcome))) => ProposalReply::Outcome(replica::outcome(outcome)),
        Ok(Ok(Answer::Refused(code, advice))) => ProposalReply::Refused(code, advice),
        Ok(Ok(Answer::Current | Answer::Evacuated(_) | Answer::Published(_)) | Err(_)) | Err(_) => {
            outcome_unknown("the store did not answer in time")
        }
    }
}

/// Returns the identity of this store's data folder; none if this instance is not a store.
pub fn identity(node: &Node) -> Option<StoreIdentity> {
    let replica = node.replica.as_ref()?.borrow();
    Some(StoreIdentity {
        cluster: replica.raft().cluster().map(|cluster| cluster.0),
        id: replica.raft().id().0,
        name: node.settings.instance.name.clone(),
    })
}

async fn forward(leader: SocketAddr, proposal: Proposal) -> ProposalReply {
    let Some(client) = raft_transport::connect(leader).await else {
        return no_leader("the leader cannot be reached");
    };
    let call = client.propose(context::current(), proposal);
    match compio::time::timeout(ANSWER_TIMEOUT, call).await {
        Ok(Ok(reply)) => reply,
        Ok(Err(_)) | Err(_) => outcome_unknown("the leader did not answer"),
    }
}

/// Queries the identity of a store's data folder.
async fn identify(address: SocketAddr) -> Option<StoreIdentity> {
    let client = raft_transport::connect(address).await?;
    let call = client.identify(context::current());
    let answer = compio::time::timeout(IDENTIFY_TIMEOUT, call).await;
    answer.ok()?.ok()?
}

/// Identifies the store at an address and describes it as a non-voting member of this store's log.
async fn identify_member(node: &Node, store: StoreAddress) -> Result<Member, ProposalReply> {
    let own = identity(node).and_then(|own| own.cluster);
    let refuse = |advice: String| ProposalReply::Refused(Code::MembersRefused, advice.into());
    let Some(identity) = identify(store.inner).await else {
        return Err(refuse(format!("no store answers at {}", store.inner)));
    };
    if identity.name != store.name {
        let advice = format!("the store at {} is `{}`", store.inner, identity.name);
        return Err(refuse(advice));
    }
    if identity.cluster.is_some() && identity.cluster != own {
        let advice = format!("store `{}` belongs to another log", store.name);
        return Err(refuse(advice));
    }
    Ok(Member {
        address: store.inner,
        id: StoreId(identity.id),
        name: store.name,
        voter: false,
    })
}

fn no_leader(advice: &str) -> ProposalReply {
    ProposalReply::Refused(Code::NoLeader, advice.into())
}

fn refused(code: Code, advice: Box<str>) -> EditOutcome {
    EditOutcome::Refused {
        advice,
        code,
        version: 0,
    }
}

fn outcome_unknown(advice: &str) -> ProposalReply {
    ProposalReply::Refused(Code::EditUnknown, advice.into())
}
