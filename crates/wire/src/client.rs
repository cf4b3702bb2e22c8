//! Client of a connection between instances, with heartbeats.

use std::{
    ops::Deref,
    rc::{
        Rc,
        Weak, //
    },
    time::Duration, //
};

use compio::time::{
    sleep,
    timeout, //
};
use tarpc::context;

use crate::call::InnerClient;

/// Interval between heartbeats on a connection.
const HEARTBEAT_INTERVAL: Duration = Duration::from_secs(3);

/// Time after which an unanswered heartbeat closes the connection.
const HEARTBEAT_TIMEOUT: Duration = Duration::from_secs(4);

/// Client of one connection, which stays open until the last clone is dropped.
#[derive(Clone, Debug)]
pub struct Client(Rc<InnerClient>);

impl Client {
    /// Creates a client for an open connection.
    pub(crate) fn new(inner: InnerClient) -> Self {
        Self(Rc::new(inner))
    }

    /// Sends heartbeats until one is not answered or the last clone of the client is dropped.
    pub(crate) fn send_heartbeats(&self) -> impl Future<Output = ()> + use<> {
        send_heartbeats(Rc::downgrade(&self.0))
    }
}

impl Deref for Client {
    type Target = InnerClient;

    fn deref(&self) -> &Self::Target {
        &self.0
    }
}

async fn send_heartbeats(client: Weak<InnerClient>) {
    loop {
        sleep(HEARTBEAT_INTERVAL).await;
        let Some(client) = client.upgrade() else {
            return;
        };
        let heartbeat = client.beat(context::current());
        if !matches!(timeout(HEARTBEAT_TIMEOUT, heartbeat).await, Ok(Ok(()))) {
            return;
        }
    }
}
