//! RPC calls to the stores from instances that are not stores.

use std::{
    net::SocketAddr,
    rc::Rc,
    time::Duration, //
};

use codes::Code;
use distribution::{
    Candidate,
    rank, //
};
use tarpc::context;
use wire::{
    AuditLine,
    AuditQuery,
    Client,
    Edit,
    EditOutcome,
    SectionVersion, //
};

use crate::{
    node::Node,
    store_reads, //
};

/// Time limit for a store to answer a call.
const CALL_TIMEOUT: Duration = Duration::from_millis(2_500);

/// Time limit for opening a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// Time after which an edit is not sent to any further store.
const FAILOVER_TIMEOUT: Duration = Duration::from_secs(2);

/// Returns the stores' RPC addresses in this instance's order of preference.
pub fn ranked_addresses(node: &Node) -> Vec<SocketAddr> {
    let own = &node.settings.instance;
    let members = node.view.members.borrow();
    let mut stores: Vec<_> = members
        .iter()
        .filter(|member| member.store)
        .map(|member| Candidate {
            distance: u32::from(member.centre != own.centre),
            key: member.inner,
            name: member.name.clone(),
        })
        .collect();
    if stores.is_empty() {
        stores.extend(node.settings.seeds.iter().map(|seed| Candidate {
            distance: 1,
            key: *seed,
            name: seed.to_string().into(),
        }));
    }
    rank(&own.name, stores)
}

/// Connects to a store; none if that fails or times out.
pub async fn connect(address: SocketAddr) -> Option<Client> {
    match compio::time::timeout(CONNECT_TIMEOUT, wire::connect(address)).await {
        Ok(Ok(client)) => Some(client),
        Ok(Err(error)) => {
            log::debug!(code = error.code().number(); "{error}");
            None
        }
        Err(_) => None,
    }
}

/// Sends an edit to the stores, one after another, until one returns a definite outcome.
///
/// The edit's id lets a store that receives it again repeat its first answer.
pub async fn edit(node: &Rc<Node>, edit: Edit) -> EditOutcome {
    let start = node.now();
    let mut last = refused(Code::NoLeader, "no store can be reached".into());
    for address in ranked_addresses(node) {
        if node.now() - start > FAILOVER_TIMEOUT {
            break;
        }
        let Some(client) = connect(address).await else {
            continue;
        };
        let call = client.edit(context::current(), edit.clone());
        let outcome = match compio::time::timeout(CALL_TIMEOUT, call).await {
            Ok(Ok(outcome)) => outcome,
            Ok(Err(_)) | Err(_) => refused(
                Code::EditUnknown,
                format!("the store at {address} did not answer").into(),
            ),
        };
        match code(&outcome) {
            Some(Code::EditUnknown) => last = outcome,
            Some(Code::NoLeader) if code(&last) != Some(Code::EditUnknown) => last = outcome,
            Some(Code::NoLeader) => {}
            Some(_) | None => return outcome,
        }
    }
    last
}

/// Reads the audit trail from this instance, if it is a store, or from one that a quorum confirms.
pub async fn audit(node: &Node, query: AuditQuery) -> Option<Vec<AuditLine>> {
    if node.replica.is_some() {
        return store_reads::audit(node, &query);
    }
    for address in ranked_addresses(node) {
        let Some(client) = connect(address).await else {
            continue;
        };
        let call = client.audit(context::current(), query.clone());
        if let Ok(Ok(Some(lines))) = compio::time::timeout(CALL_TIMEOUT, call).await {
            return Some(lines);
        }
    }
    None
}

/// Reads a section's versions from this instance, if it is a store, or from one that a quorum
/// confirms.
pub async fn history(node: &Node, section: Box<str>) -> Option<Vec<SectionVersion>> {
    if node.replica.is_some() {
        return store_reads::history(node, &section);
    }
    for address in ranked_addresses(node) {
        let Some(client) = connect(address).await else {
            continue;
        };
        let call = client.history(context::current(), section.clone());
        if let Ok(Ok(Some(versions))) = compio::time::timeout(CALL_TIMEOUT, call).await {
            return Some(versions);
        }
    }
    None
}

const fn code(outcome: &EditOutcome) -> Option<Code> {
    match outcome {
        EditOutcome::Accepted { .. } => None,
        EditOutcome::Refused { code, .. } => Some(*code),
    }
}

fn refused(code: Code, advice: Box<str>) -> EditOutcome {
    EditOutcome::Refused {
        advice,
        code,
        version: 0,
    }
}
