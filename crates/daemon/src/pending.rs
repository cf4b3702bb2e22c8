//! Requests whose end the holders of their keys are not told yet.

use std::rc::Rc;

use crate::node::Node;

/// Counts a request with a key until the holders are told of its end; a stop waits for it.
#[derive(Debug)]
pub struct Pending {
    node: Rc<Node>,
}

impl Pending {
    /// Counts one more request.
    pub fn new(node: Rc<Node>) -> Self {
        node.claims.begun();
        Self { node }
    }
}

impl Drop for Pending {
    fn drop(&mut self) {
        self.node.claims.ended();
    }
}
