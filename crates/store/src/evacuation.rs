//! Evacuations: operators' orders that the endpoints of a data centre get no new flows.

use std::collections::BTreeSet;

use serde::{
    Deserialize,
    Serialize, //
};

use crate::version::Revision;

/// An order that starts or ends the evacuation of a data centre.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct Evacuation {
    /// Author of the order.
    pub author: Box<str>,
    /// The data centre.
    pub centre: Box<str>,
    /// Whether the data centre is evacuated from then on.
    pub evacuated: bool,
    /// Time of receipt, in milliseconds since the Unix epoch.
    pub time: u64,
}

impl Evacuation {
    /// Creates an order without an author that starts the evacuation of a data centre.
    pub fn start(centre: &str) -> Self {
        Self {
            author: Box::default(),
            centre: centre.into(),
            evacuated: true,
            time: 0,
        }
    }

    /// Creates an order without an author that ends the evacuation of a data centre.
    pub fn end(centre: &str) -> Self {
        Self {
            evacuated: false,
            ..Self::start(centre)
        }
    }

    /// Sets the author, and the time of receipt, in milliseconds since the Unix epoch.
    pub fn with_author(mut self, author: &str, time: u64) -> Self {
        self.author = author.into();
        self.time = time;
        self
    }
}

/// The evacuated data centres.
#[derive(Clone, Debug, Default, Eq, Hash, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct Evacuated {
    /// Names of the data centres.
    pub centres: BTreeSet<Box<str>>,
    /// Number of orders that have changed them; of two sets, that with the higher one is in force.
    pub revision: Revision,
}

impl Evacuated {
    /// Whether a data centre is evacuated.
    pub fn contains(&self, centre: &str) -> bool {
        self.centres.contains(centre)
    }

    /// Carries out an order; returns whether it changed anything.
    pub(crate) fn apply(&mut self, evacuation: &Evacuation) -> bool {
        let changed = match evacuation.evacuated {
            true => self.centres.insert(evacuation.centre.clone()),
            false => self.centres.remove(&evacuation.centre),
        };
        if changed {
            self.revision = self.revision.next();
        }
        changed
    }
}
