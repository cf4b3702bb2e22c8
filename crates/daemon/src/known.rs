//! What an instance knows of its deployment.

use std::{
    cell::RefCell,
    time::{
        Duration,
        Instant, //
    },
};

use configuration::Configuration;
use directory::Directory;
use membership::Members;

/// What an instance knows of its deployment, and since when it runs.
///
/// Each part of the process that decides by it has a handle of its own. No borrow of a cell is
/// held across an await.
#[derive(Debug)]
pub struct Known {
    /// The document in force.
    pub configuration: RefCell<Configuration>,
    /// The endpoints.
    pub directory: RefCell<Directory>,
    /// The other instances.
    pub members: RefCell<Members>,
    start: Instant,
}

impl Known {
    /// Creates what a process knows at its start: the members that its settings name.
    pub fn new(members: Members) -> Self {
        Self {
            configuration: RefCell::new(Configuration::new()),
            directory: RefCell::new(Directory::new()),
            members: RefCell::new(members),
            start: Instant::now(),
        }
    }

    /// Time since the process started.
    pub fn now(&self) -> Duration {
        self.start.elapsed()
    }

    /// Incarnation of this instance.
    pub fn incarnation(&self) -> u64 {
        self.members.borrow().own().incarnation
    }
}
