//! The page that lists the endpoints known to an instance.

use wire::Announcement;

use crate::{
    convert_endpoint,
    node::Node, //
};

/// Returns the endpoints under a lease, sorted by name.
pub fn page(node: &Node) -> Vec<Announcement> {
    let directory = node.view.directory.borrow();
    let mut endpoints: Vec<_> = directory
        .iter()
        .map(|(_, endpoint)| convert_endpoint::endpoint_to_wire(endpoint))
        .collect();
    endpoints.sort_by(|one, other| one.name.cmp(&other.name));
    endpoints
}
