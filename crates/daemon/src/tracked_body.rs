//! Response bodies that hold the slot and the connection of their request until they end.

use std::{
    net::SocketAddr,
    pin::Pin,
    rc::Rc,
    task::{
        Context,
        Poll, //
    },
};

use dispatch::Outcome;
use http_body_util::{
    BodyExt,
    Either,
    Full, //
};
use hyper::body::{
    Body,
    Bytes,
    Frame,
    Incoming,
    SizeHint, //
};

use crate::{
    connections::{
        Connections,
        RequestSender, //
    },
    response_recorder::ResponseRecorder,
    slot::Slot, //
};

/// Body of a response: streamed from an endpoint, or buffered by this entry.
pub type ResponseBody = Either<TrackedBody, Full<Bytes>>;

/// An endpoint's response body with the slot and the connection of its request.
///
/// The connection is kept for other requests only if the body has been read to its end. Otherwise
/// dropping the body closes it, which cancels the request at the endpoint. The response to a
/// request with an idempotency key is read to its end instead, since the client may retry.
#[derive(Debug)]
pub struct TrackedBody {
    address: SocketAddr,
    body: Option<Incoming>,
    connections: Rc<Connections>,
    recorder: Option<ResponseRecorder>,
    sender: Option<RequestSender>,
    slot: Slot,
}

impl TrackedBody {
    /// Creates a body that holds a slot and a connection.
    pub fn new(
        connections: Rc<Connections>,
        slot: Slot,
        address: SocketAddr,
        sender: RequestSender,
        body: Incoming,
    ) -> Self {
        Self {
            address,
            body: Some(body),
            connections,
            recorder: None,
            sender: Some(sender),
            slot,
        }
    }

    /// Adds a recorder that stores the response for retries of its request.
    pub fn with_recorder(mut self, recorder: ResponseRecorder) -> Self {
        self.recorder = Some(recorder);
        self
    }

    /// Releases the slot and the connection at once if the body is empty.
    pub fn finish_if_empty(mut self) -> Self {
        if self.is_end_stream() {
            self.finish(Outcome::Answered);
        }
        self
    }

    fn finish(&mut self, outcome: Outcome) {
        self.slot.finish(outcome);
        self.body = None;
        if let Some(sender) = self.sender.take()
            && outcome == Outcome::Answered
        {
            self.connections.keep(self.address, sender);
        }
        if let Some(recorder) = self.recorder.take() {
            recorder.finish(outcome);
        }
    }
}

impl Body for TrackedBody {
    type Data = Bytes;
    type Error = hyper::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, hyper::Error>>> {
        let Some(body) = self.body.as_mut() else {
            return Poll::Ready(None);
        };
        let polled = Pin::new(&mut *body).poll_frame(context);
        let last = body.is_end_stream();
        match &polled {
            Poll::Pending => return Poll::Pending,
            Poll::Ready(Some(Ok(frame))) => {
                if let (Some(recorder), Some(data)) = (self.recorder.as_mut(), frame.data_ref()) {
                    recorder.append(data);
                }
                if last {
                    self.finish(Outcome::Answered);
                }
            }
            Poll::Ready(Some(Err(_))) => self.finish(Outcome::Lost),
            Poll::Ready(None) => self.finish(Outcome::Answered),
        }
        polled
    }

    fn is_end_stream(&self) -> bool {
        self.body.as_ref().is_none_or(Body::is_end_stream)
    }

    fn size_hint(&self) -> SizeHint {
        match &self.body {
            Some(body) => body.size_hint(),
            None => SizeHint::with_exact(0),
        }
    }
}

impl Drop for TrackedBody {
    fn drop(&mut self) {
        let Some(body) = self.body.take() else {
            return;
        };
        match (self.recorder.take(), self.sender.take()) {
            (Some(recorder), Some(sender)) => {
                let slot = self.slot.transfer();
                let rest = Self::new(self.connections.clone(), slot, self.address, sender, body);
                let rest = rest.with_recorder(recorder);
                compio::runtime::spawn(rest.drain()).detach();
            }
            (Some(recorder), None) => recorder.finish(Outcome::Lost),
            (None, _) => {}
        }
    }
}

impl TrackedBody {
    /// Reads the rest of a body whose client has disconnected.
    pub async fn drain(mut self) {
        while let Some(Ok(_)) = self.frame().await {}
    }
}
