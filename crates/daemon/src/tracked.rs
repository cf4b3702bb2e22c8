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
        Sender, //
    },
    recorder::Recorder,
    slot::Slot, //
};

/// Body of an answer: an endpoint's, or one that this entry holds whole.
pub type AnswerBody = Either<Tracked, Full<Bytes>>;

/// An endpoint's response body with the slot and the connection of its request.
///
/// The connection is kept for other requests only if the body has been read to its end. Otherwise
/// it is closed with this, which cancels the request at the endpoint; a request with an
/// idempotency key is read to its end instead, since its answer may be asked for again.
#[derive(Debug)]
pub struct Tracked {
    address: SocketAddr,
    body: Option<Incoming>,
    connections: Rc<Connections>,
    recorder: Option<Recorder>,
    sender: Option<Sender>,
    slot: Slot,
}

impl Tracked {
    /// Ties slot and connection to the body.
    pub fn new(
        connections: Rc<Connections>,
        slot: Slot,
        address: SocketAddr,
        sender: Sender,
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

    /// Adds who keeps the answer for resends of its request.
    pub fn with_recorder(mut self, recorder: Recorder) -> Self {
        self.recorder = Some(recorder);
        self
    }

    /// Ends what has no body left to be read.
    pub fn settled(mut self) -> Self {
        if self.is_end_stream() {
            self.end(Outcome::Answered);
        }
        self
    }

    fn end(&mut self, outcome: Outcome) {
        self.slot.end(outcome);
        self.body = None;
        if let Some(sender) = self.sender.take()
            && outcome == Outcome::Answered
        {
            self.connections.keep(self.address, sender);
        }
        if let Some(recorder) = self.recorder.take() {
            recorder.end(outcome);
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
        let Some(body) = self.body.as_mut() else {
            return Poll::Ready(None);
        };
        let polled = Pin::new(&mut *body).poll_frame(context);
        let last = body.is_end_stream();
        match &polled {
            Poll::Pending => return Poll::Pending,
            Poll::Ready(Some(Ok(frame))) => {
                if let (Some(recorder), Some(data)) = (self.recorder.as_mut(), frame.data_ref()) {
                    recorder.add(data);
                }
                if last {
                    self.end(Outcome::Answered);
                }
            }
            Poll::Ready(Some(Err(_))) => self.end(Outcome::Lost),
            Poll::Ready(None) => self.end(Outcome::Answered),
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

impl Drop for Tracked {
    fn drop(&mut self) {
        let Some(body) = self.body.take() else {
            return;
        };
        match (self.recorder.take(), self.sender.take()) {
            (Some(recorder), Some(sender)) => {
                let slot = self.slot.hand_over();
                let rest = Self::new(self.connections.clone(), slot, self.address, sender, body);
                let rest = rest.with_recorder(recorder);
                compio::runtime::spawn(rest.drain()).detach();
            }
            (Some(recorder), None) => recorder.end(Outcome::Lost),
            (None, _) => {}
        }
    }
}

impl Tracked {
    /// Reads to the end what its caller no longer waits for.
    pub async fn drain(mut self) {
        while let Some(Ok(_)) = self.frame().await {}
    }
}
