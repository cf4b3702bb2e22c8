//! Following the stores, and handing edits to them.

use std::{
    net::SocketAddr,
    rc::Rc,
    time::Duration, //
};

use codes::Code;
use tarpc::context;
use wire::{
    Edit,
    Follow,
    InnerClient,
    Outcome,
    Update, //
};

use crate::{
    node::Node,
    proposals, //
};

/// Time after which a store that does not answer is given up.
const CALL_TIMEOUT: Duration = Duration::from_secs(4);

/// Time after which a connection that is not made is given up.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// Pause before the next store is tried.
const PAUSE: Duration = Duration::from_millis(100);

/// Takes newer documents into force until the process ends.
pub async fn follow(node: Rc<Node>) {
    if node.replica.is_some() {
        return own(node).await;
    }
    loop {
        for address in stores(&node) {
            if let Some(client) = connect(address).await {
                poll(&node, address, &client).await;
            }
        }
        compio::time::sleep(PAUSE).await;
    }
}

/// Hands an edit to a store, which may be this instance.
pub async fn edit(node: &Rc<Node>, edit: Edit) -> Outcome {
    if node.replica.is_some() {
        return proposals::edit(node, edit).await;
    }
    for address in stores(node) {
        let Some(client) = connect(address).await else {
            continue;
        };
        let call = client.edit(context::current(), edit);
        return match compio::time::timeout(CALL_TIMEOUT, call).await {
            Ok(Ok(outcome)) => outcome,
            Ok(Err(_)) | Err(_) => Outcome::Refused {
                advice: format!("the store at {address} did not answer").into(),
                code: Code::EditUnknown,
                version: 0,
            },
        };
    }
    Outcome::Refused {
        advice: "no store can be reached".into(),
        code: Code::NoLeader,
        version: 0,
    }
}

async fn connect(address: SocketAddr) -> Option<InnerClient> {
    match compio::time::timeout(CONNECT_TIMEOUT, wire::connect(address)).await {
        Ok(Ok(client)) => Some(client),
        Ok(Err(error)) => {
            log::debug!(code = error.code().number(); "{error}");
            None
        }
        Err(_) => None,
    }
}

async fn poll(node: &Node, address: SocketAddr, client: &InnerClient) {
    loop {
        let follow = Follow {
            revision: node.configuration.borrow().revision(),
        };
        let call = client.follow(context::current(), follow);
        match compio::time::timeout(CALL_TIMEOUT, call).await {
            Ok(Ok(Some(update))) => take(node, update),
            Ok(Ok(None)) => {}
            Ok(Err(_)) | Err(_) => {
                log::info!("the store at {address} does not answer");
                return;
            }
        }
    }
}

/// Takes the documents of this instance's own replica into force.
async fn own(node: Rc<Node>) {
    let Some(replica) = &node.replica else {
        return;
    };
    loop {
        let listener = node.changed.listen();
        let revision = node.configuration.borrow().revision();
        let update = replica.borrow().update(revision);
        match update {
            Some(update) => take(&node, update),
            None => listener.await,
        }
    }
}

fn stores(node: &Node) -> Vec<SocketAddr> {
    let members = node.members.borrow();
    let mut stores: Vec<_> = members
        .iter()
        .filter(|member| member.store)
        .map(|member| member.inner)
        .collect();
    if stores.is_empty() {
        stores.extend(&node.settings.seeds);
    }
    stores
}

fn take(node: &Node, update: Update) {
    let revision = update.revision;
    let result = node.configuration.borrow_mut().update(update);
    match result {
        Ok(true) => {
            node.metrics
                .revision
                .set(i64::try_from(revision).unwrap_or(i64::MAX));
            log::info!(revision; "a new document is in force");
        }
        Ok(false) => {}
        Err(error) => {
            node.metrics.refuse(error.result_code());
            log::error!(code = error.result_code().number(), revision; "{error}");
        }
    }
}
