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
    adapter::Adapter,
    entry::Entry, //
};

/// Answers readiness checks of routers.
#[derive(Debug)]
pub struct ReadinessHandler<A> {
    adapter: PhantomData<A>,
    entry: Rc<Entry>,
}

impl<A> ReadinessHandler<A> {
    /// Creates the handler of an entry.
    pub const fn new(entry: Rc<Entry>) -> Self {
        Self {
            adapter: PhantomData,
            entry,
        }
    }
}

impl<A> Clone for ReadinessHandler<A> {
    fn clone(&self) -> Self {
        Self::new(self.entry.clone())
    }
}

impl<A: Adapter> HttpHandler for ReadinessHandler<A> {
    type Body = Full<Bytes>;

    fn handle(
        &self,
        request: Request<Incoming>,
    ) -> impl Future<Output = Response<Self::Body>> + 'static {
        let (parts, _) = request.into_parts();
        let response = A::encode_readiness(&parts, self.entry.ready());
        async move { response }
    }
}
