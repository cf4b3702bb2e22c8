//! The page of the endpoints that an instance knows.

use wire::Announcement;

use crate::{
    convert_endpoint,
    node::Node, //
};

/// The endpoints under a lease, in the order of their names.
pub fn page(node: &Node) -> Vec<Announcement> {
    let directory = node.known.directory.borrow();
    let mut endpoints: Vec<_> = directory
        .iter()
        .map(|(_, endpoint)| convert_endpoint::announcement(endpoint))
        .collect();
    endpoints.sort_by(|one, other| one.name.cmp(&other.name));
    endpoints
}
