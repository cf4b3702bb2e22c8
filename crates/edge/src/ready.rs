//! The face that tells routers whether the entry takes packets.

use std::{
    marker::PhantomData,
    rc::Rc, //
};

use http_body_util::Full;
use hyper::{
    Request, Response,
    body::{
        Bytes,
        Incoming, //
    },
};
use process::Handler;

use crate::{
    border::Border,
    entry::Entry, //
};

/// The face that tells routers whether the entry takes packets.
#[derive(Debug)]
pub struct Ready<B> {
    border: PhantomData<B>,
    entry: Rc<Entry>,
}

impl<B> Ready<B> {
    /// Creates the face of an entry.
    pub const fn new(entry: Rc<Entry>) -> Self {
        Self {
            border: PhantomData,
            entry,
        }
    }
}

impl<B> Clone for Ready<B> {
    fn clone(&self) -> Self {
        Self::new(self.entry.clone())
    }
}

impl<B: Border> Handler for Ready<B> {
    type Body = Full<Bytes>;

    fn handle(
        &self,
        request: Request<Incoming>,
    ) -> impl Future<Output = Response<Self::Body>> + 'static {
        let (parts, _) = request.into_parts();
        let answer = B::ready(&parts, self.entry.ready());
        async move { answer }
    }
}
