//! The status page.

use serde::Serialize;

use crate::{
    convert_member,
    node::Node, //
};

/// What an instance says of itself and of those that it knows.
#[derive(Debug, Serialize)]
pub struct Status {
    endpoints: usize,
    instance: wire::Instance,
    instances: Vec<wire::Instance>,
    ready: bool,
    revision: u64,
    running: u32,
}

/// Describes the instance and those that it knows.
pub fn page(node: &Node) -> Status {
    Status {
        endpoints: node.directory.borrow().iter().count(),
        instance: node.describe(),
        instances: node
            .members
            .borrow()
            .iter()
            .map(convert_member::described)
            .collect(),
        ready: node.ready(),
        revision: node.configuration.borrow().revision(),
        running: node.dispatch.borrow().total(),
    }
}
