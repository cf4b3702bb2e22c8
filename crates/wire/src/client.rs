//! Calls over one connection, with heartbeats.

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

/// Time between two heartbeats of a connection.
const BEAT: Duration = Duration::from_secs(3);

/// Time after which a connection whose heartbeat is not answered is closed.
const BEAT_TIMEOUT: Duration = Duration::from_secs(4);

/// Calls over one connection; it stays open as long as a clone of this exists.
#[derive(Clone, Debug)]
pub struct Client(Rc<InnerClient>);

impl Client {
    /// Creates a client of an open connection.
    pub(crate) fn new(inner: InnerClient) -> Self {
        Self(Rc::new(inner))
    }

    /// Returns when the connection is silent, or when no clone of the client is left.
    pub(crate) fn watch(&self) -> impl Future<Output = ()> + use<> {
        watch(Rc::downgrade(&self.0))
    }
}

impl Deref for Client {
    type Target = InnerClient;

    fn deref(&self) -> &Self::Target {
        &self.0
    }
}

async fn watch(client: Weak<InnerClient>) {
    loop {
        sleep(BEAT).await;
        let Some(client) = client.upgrade() else {
            return;
        };
        let beat = client.beat(context::current());
        if !matches!(timeout(BEAT_TIMEOUT, beat).await, Ok(Ok(()))) {
            return;
        }
    }
}
