//! Operator requests that read or change the member stores of the log.

use std::{
    rc::Rc,
    time::Duration, //
};

use codes::Code;
use store::{
    ClusterId,
    Event,
    Member, //
};
use wire::{
    Init,
    LogMembers,
    MemberChange,
    Proposal,
    ProposalReply,
    StoreAddress, //
};

use crate::{
    node::Node,
    proposals, //
};

/// Interval at which the members are polled.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Time limit for a store to become a voter.
const JOIN_TIMEOUT: Duration = Duration::from_secs(5);

/// The code and advice of a refused request.
pub type RefusedRequest = (Code, Box<str>);

/// Returns the members as this store knows them.
///
/// # Errors
///
/// `NoLeader` if this instance is not a store.
pub fn show(node: &Node) -> Result<LogMembers, RefusedRequest> {
    match &node.replica {
        Some(replica) => Ok(replica::members(&replica.borrow(), node.now())),
        None => Err((Code::NoLeader, "this instance is not a store".into())),
    }
}

/// Adds or removes a store.
///
/// # Errors
///
/// `MembersRefused`, or the reason for which the leader cannot accept the change.
pub async fn change(node: &Rc<Node>, change: MemberChange) -> Result<LogMembers, RefusedRequest> {
    let proposal = match change {
        MemberChange::Add(store) => Proposal::Add(store),
        MemberChange::Remove(name) => Proposal::Remove(name),
    };
    match proposals::propose(node, proposal).await {
        ProposalReply::Changed | ProposalReply::Outcome(_) => show(node),
        ProposalReply::Refused(code, advice) => Err((code, advice)),
    }
}

/// Initialises a new log with this store as its only member, then adds the others one at a time.
///
/// # Errors
///
/// `ValueInvalid` if this store is not listed, or the reason for which a store cannot be added.
pub async fn init(node: &Rc<Node>, init: Init) -> Result<LogMembers, RefusedRequest> {
    initialise(node, &init)?;
    for store in init.stores {
        add_voter(node, store).await?;
    }
    show(node)
}

fn initialise(node: &Rc<Node>, init: &Init) -> Result<(), RefusedRequest> {
    show(node)?;
    let name = &node.settings.instance.name;
    let own = init.stores.iter().find(|store| store.name == *name);
    let Some(own) = own else {
        let advice = format!("store `{name}` is not among the listed ones");
        return Err((Code::ValueInvalid, advice.into()));
    };
    if let Some(replica) = &node.replica {
        let id = replica.borrow().raft().id();
        let member = Member {
            address: own.inner,
            id,
            name: own.name.clone(),
            voter: true,
        };
        let cluster = ClusterId(rand::random());
        replica.borrow_mut().push(Event::Init(cluster, member));
    }
    Ok(())
}

/// Adds a store and waits until it is a voter.
async fn add_voter(node: &Rc<Node>, store: StoreAddress) -> Result<(), RefusedRequest> {
    let deadline = node.now() + JOIN_TIMEOUT;
    loop {
        let voter = |members: LogMembers| {
            let mut members = members.members.into_iter();
            members.any(|member| member.name == store.name && member.voter)
        };
        if voter(show(node)?) {
            return Ok(());
        }
        let result = change(node, MemberChange::Add(store.clone())).await;
        match result {
            Err(refused) if node.now() > deadline => return Err(refused),
            Ok(_) if node.now() > deadline => {
                let advice = format!("store `{}` has not caught up", store.name);
                return Err((Code::MembersRefused, advice.into()));
            }
            Ok(_) | Err(_) => compio::time::sleep(POLL_INTERVAL).await,
        }
    }
}
