//! What is to be sent to one instance.

use std::{
    collections::BTreeSet,
    time::Duration, //
};

use crate::{
    batch::Route,
    endpoint::EndpointKey, //
};

/// What is to be sent to one instance.
#[derive(Clone, Debug, Default)]
pub struct Outbox {
    /// When it is sent; nothing is to be sent if none.
    pub due: Option<Duration>,
    /// Endpoints whose last announcement is sent, with how far it is passed on.
    pub keys: BTreeSet<(Route, EndpointKey)>,
}

impl Outbox {
    /// Adds an endpoint, to be sent at `due` at the latest.
    pub fn add(&mut self, route: Route, key: EndpointKey, due: Duration) {
        self.keys.insert((route, key));
        self.hasten(due);
    }

    /// Sends at `due` at the latest, even if nothing is added.
    pub fn hasten(&mut self, due: Duration) {
        self.due = Some(self.due.map_or(due, |known| known.min(due)));
    }
}
