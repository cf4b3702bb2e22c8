//! Connections to other instances, for calls about claims.

use std::{
    cell::RefCell,
    collections::BTreeMap,
    net::SocketAddr,
    rc::Rc,
    time::Duration, //
};

use tarpc::{
    client::RpcError,
    context::{
        self,
        Context, //
    },
};
use wire::Client;

use crate::known::Known;

/// Time after which a connection that is not made is given up.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// Connections to other instances, opened when they are first used.
#[derive(Debug)]
pub struct Clients {
    known: Rc<Known>,
    open: RefCell<BTreeMap<SocketAddr, Client>>,
}

impl Clients {
    /// Creates an empty set.
    pub const fn new(known: Rc<Known>) -> Self {
        Self {
            known,
            open: RefCell::new(BTreeMap::new()),
        }
    }

    /// Calls an instance by its name; none if it is not known or does not reply in time.
    pub async fn call<R, F>(
        &self,
        name: &str,
        patience: Duration,
        call: impl FnOnce(Client, Context) -> F,
    ) -> Option<R>
    where
        F: Future<Output = Result<R, RpcError>>,
    {
        let address = {
            let members = self.known.members.borrow();
            members.iter().find(|member| &*member.name == name)?.inner
        };
        self.call_at(address, patience, call).await
    }

    /// Calls the instance at an address; none if it does not reply in time.
    pub async fn call_at<R, F>(
        &self,
        address: SocketAddr,
        patience: Duration,
        call: impl FnOnce(Client, Context) -> F,
    ) -> Option<R>
    where
        F: Future<Output = Result<R, RpcError>>,
    {
        let client = self.connect(address).await?;
        let call = call(client, context::current());
        let reason = match compio::time::timeout(patience, call).await {
            Ok(Ok(reply)) => return Some(reply),
            Ok(Err(error)) => error.to_string(),
            Err(error) => error.to_string(),
        };
        log::debug!(instance = address.to_string(), reason; "a call to another instance is given up");
        self.open.borrow_mut().remove(&address);
        None
    }

    async fn connect(&self, address: SocketAddr) -> Option<Client> {
        let open = self.open.borrow().get(&address).cloned();
        if open.is_some() {
            return open;
        }
        let connecting = wire::connect(address);
        let reason = match compio::time::timeout(CONNECT_TIMEOUT, connecting).await {
            Ok(Ok(client)) => {
                self.open.borrow_mut().insert(address, client.clone());
                return Some(client);
            }
            Ok(Err(error)) => error.to_string(),
            Err(error) => error.to_string(),
        };
        log::debug!(instance = address.to_string(), reason; "another instance is not reached");
        None
    }
}
