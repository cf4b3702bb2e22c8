//! The instance's view of the deployment.

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

/// The instance's view of the deployment, and the time of its start.
///
/// Each component that reads it holds a reference of its own. No borrow of a cell is held across an
/// await.
#[derive(Debug)]
pub struct LocalView {
    /// The document in force.
    pub configuration: RefCell<Configuration>,
    /// The known endpoints.
    pub directory: RefCell<Directory>,
    /// The other instances.
    pub members: RefCell<Members>,
    start: Instant,
}

impl LocalView {
    /// Creates the view of a new process, which knows only the given members.
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
