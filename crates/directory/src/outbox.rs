//! Queue of reports to one instance.

use std::{
    collections::BTreeSet,
    time::Duration, //
};

use crate::{
    batch::Route,
    endpoint::EndpointKey, //
};

/// Queue of reports to one instance.
#[derive(Clone, Debug, Default)]
pub struct Outbox {
    /// When to send; `None` if there is nothing to send.
    pub due: Option<Duration>,
    /// Endpoints to report, with the route of each report.
    pub keys: BTreeSet<(Route, EndpointKey)>,
}

impl Outbox {
    /// Adds an endpoint, to be sent by `due`.
    pub fn add(&mut self, route: Route, key: EndpointKey, due: Duration) {
        self.keys.insert((route, key));
        self.schedule(due);
    }

    /// Schedules a send by `due`, even if nothing is added.
    pub fn schedule(&mut self, due: Duration) {
        self.due = Some(self.due.map_or(due, |known| known.min(due)));
    }
}
