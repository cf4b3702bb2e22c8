//! The operators' calls on the stores of the log.

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
    Decision,
    Init,
    LogMembers,
    MemberChange,
    Proposal,
    StoreAddress, //
};

use crate::{
    node::Node,
    proposals, //
};

/// Pause between two looks at the members.
const PAUSE: Duration = Duration::from_millis(20);

/// Time within which one store has to become a voter.
const JOIN_TIMEOUT: Duration = Duration::from_secs(5);

/// Why a call is refused.
pub type Refused = (Code, Box<str>);

/// The stores as this one knows them.
///
/// # Errors
///
/// `NoLeader` if this instance is not a store.
pub fn show(node: &Node) -> Result<LogMembers, Refused> {
    match &node.replica {
        Some(replica) => Ok(replica::members(&replica.borrow(), node.now())),
        None => Err((Code::NoLeader, "this instance is not a store".into())),
    }
}

/// Adds or removes one store.
///
/// # Errors
///
/// `MembersRefused`, or what keeps the leader from taking the change.
pub async fn change(node: &Rc<Node>, change: MemberChange) -> Result<LogMembers, Refused> {
    let proposal = match change {
        MemberChange::Add(store) => Proposal::Add(store),
        MemberChange::Remove(name) => Proposal::Remove(name),
    };
    match proposals::propose(node, proposal).await {
        Decision::Changed | Decision::Outcome(_) => show(node),
        Decision::Refused(code, advice) => Err((code, advice)),
    }
}

/// The first start: begins the log with this store alone and adds the others one at a time.
///
/// # Errors
///
/// `ValueInvalid` if this store is not listed, or what keeps a store from being added.
pub async fn init(node: &Rc<Node>, init: Init) -> Result<LogMembers, Refused> {
    begin(node, &init)?;
    for store in init.stores {
        join(node, store).await?;
    }
    show(node)
}

fn begin(node: &Rc<Node>, init: &Init) -> Result<(), Refused> {
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
async fn join(node: &Rc<Node>, store: StoreAddress) -> Result<(), Refused> {
    let until = node.now() + JOIN_TIMEOUT;
    loop {
        let voter = |members: LogMembers| {
            let mut others = members.members.into_iter();
            others.any(|member| member.name == store.name && member.voter)
        };
        if voter(show(node)?) {
            return Ok(());
        }
        let result = change(node, MemberChange::Add(store.clone())).await;
        match result {
            Err(refused) if node.now() > until => return Err(refused),
            Ok(_) if node.now() > until => {
                let advice = format!("store `{}` has not caught up", store.name);
                return Err((Code::MembersRefused, advice.into()));
            }
            Ok(_) | Err(_) => compio::time::sleep(PAUSE).await,
        }
    }
}
