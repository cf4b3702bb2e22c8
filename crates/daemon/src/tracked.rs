//! A response body that holds what its request occupies until it ends.

use std::{
    net::SocketAddr,
    pin::Pin,
    rc::Rc,
    task::{
        Context,
        Poll, //
    },
};

use directory::EndpointKey;
use dispatch::Placement;
use hyper::{
    body::{
        Body,
        Bytes,
        Frame,
        Incoming,
        SizeHint, //
    },
    client::conn::http1::SendRequest, //
};

use crate::node::Node;

/// What a placed request occupies; given back when it is dropped.
#[derive(Debug)]
pub struct Occupied {
    node: Rc<Node>,
    placement: Placement<EndpointKey>,
    sender: Option<(SocketAddr, SendRequest<Incoming>)>,
}

impl Occupied {
    /// Creates the guard of a placed request.
    pub const fn new(node: Rc<Node>, placement: Placement<EndpointKey>) -> Self {
        Self {
            node,
            placement,
            sender: None,
        }
    }

    /// Adds the connection that the request was sent on.
    pub fn with_sender(mut self, address: SocketAddr, sender: SendRequest<Incoming>) -> Self {
        self.sender = Some((address, sender));
        self
    }
}

impl Drop for Occupied {
    fn drop(&mut self) {
        self.node.dispatch.borrow_mut().ended(self.placement);
        if let Some((address, sender)) = self.sender.take() {
            self.node.connections.keep(address, sender);
        }
    }
}

/// An endpoint's response body with the guard of its request.
#[derive(Debug)]
pub struct Tracked {
    body: Incoming,
    _occupied: Occupied,
}

impl Tracked {
    /// Ties the guard to the body.
    pub const fn new(body: Incoming, occupied: Occupied) -> Self {
        Self {
            body,
            _occupied: occupied,
        }
    }
}

impl Body for Tracked {
    type Data = Bytes;
    type Error = hyper::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, hyper::Error>>> {
        Pin::new(&mut self.body).poll_frame(context)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}
