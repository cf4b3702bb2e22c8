//! RPC clients of other instances, for calls about claims.

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

use crate::local_view::LocalView;

/// Time limit for opening a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// RPC clients of other instances, connected on first use.
#[derive(Debug)]
pub struct RpcClients {
    view: Rc<LocalView>,
    open: RefCell<BTreeMap<SocketAddr, Client>>,
}

impl RpcClients {
    /// Creates an empty set.
    pub const fn new(view: Rc<LocalView>) -> Self {
        Self {
            view,
            open: RefCell::new(BTreeMap::new()),
        }
    }

    /// Calls an instance by its name; none if it is unknown or does not reply within `timeout`.
    pub async fn call<R, F>(
        &self,
        name: &str,
        timeout: Duration,
        call: impl FnOnce(Client, Context) -> F,
    ) -> Option<R>
    where
        F: Future<Output = Result<R, RpcError>>,
    {
        let address = {
            let members = self.view.members.borrow();
            members.iter().find(|member| &*member.name == name)?.inner
        };
        self.call_at(address, timeout, call).await
    }

    /// Calls the instance at an address; none if it does not reply within `timeout`.
    pub async fn call_at<R, F>(
        &self,
        address: SocketAddr,
        timeout: Duration,
        call: impl FnOnce(Client, Context) -> F,
    ) -> Option<R>
    where
        F: Future<Output = Result<R, RpcError>>,
    {
        let client = self.connect(address).await?;
        let call = call(client, context::current());
        let reason = match compio::time::timeout(timeout, call).await {
            Ok(Ok(reply)) => return Some(reply),
            Ok(Err(error)) => error.to_string(),
            Err(error) => error.to_string(),
        };
        log::debug!(instance = address.to_string(), reason; "a call to another instance failed");
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
        log::debug!(instance = address.to_string(), reason; "cannot connect to another instance");
        None
    }
}
