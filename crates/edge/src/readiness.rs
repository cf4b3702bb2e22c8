//! The HTTP handler of readiness checks by routers.

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
use process::HttpHandler;

use crate::{
    adapter::Border,
    entry::Entry, //
};

/// Answers readiness checks of routers.
#[derive(Debug)]
pub struct ReadinessHandler<B> {
    adapter: PhantomData<B>,
    entry: Rc<Entry>,
}

impl<B> ReadinessHandler<B> {
    /// Creates the handler of an entry.
    pub const fn new(entry: Rc<Entry>) -> Self {
        Self {
            adapter: PhantomData,
            entry,
        }
    }
}

impl<B> Clone for ReadinessHandler<B> {
    fn clone(&self) -> Self {
        Self::new(self.entry.clone())
    }
}

impl<B: Border> HttpHandler for ReadinessHandler<B> {
    type Body = Full<Bytes>;

    fn handle(
        &self,
        request: Request<Incoming>,
    ) -> impl Future<Output = Response<Self::Body>> + 'static {
        let (parts, _) = request.into_parts();
        let response = B::ready(&parts, self.entry.ready());
        async move { response }
    }
}
