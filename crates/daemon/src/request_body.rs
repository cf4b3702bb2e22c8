//! Request bodies that are sent to endpoints.

use std::{
    pin::Pin,
    task::{
        Context,
        Poll, //
    },
    time::Duration,
};

use codes::Code;
use http_body_util::{
    BodyExt,
    Limited, //
};
use hyper::{
    body::{
        Body,
        Bytes,
        Frame,
        Incoming,
        SizeHint, //
    },
    header::{
        CONTENT_LENGTH,
        HeaderMap, //
    },
};

/// Maximum size of a buffered body, in bytes. Bodies are buffered so that a slow client occupies
/// no slot.
const MAX_BUFFERED_BYTES: usize = 64 * 1024;

/// Time that a client has to send a buffered body.
const BUFFER_TIMEOUT: Duration = Duration::from_secs(10);

/// The body of a request that is sent to an endpoint.
#[derive(Debug)]
pub enum RequestBody {
    /// A short body, buffered so that the request can be sent again.
    Buffered(Option<Bytes>),
    /// A long body that is streamed: the bytes already read, and the rest.
    Streamed(Option<Bytes>, Limited<Incoming>),
}

impl RequestBody {
    /// Buffers a short body, and leaves a long one to be streamed.
    ///
    /// # Errors
    ///
    /// [`Code::RequestTooLarge`] for a body of more than `limit` bytes, and
    /// [`Code::RequestMalformed`] for one that does not arrive in time or ends early.
    pub async fn read(headers: &HeaderMap, body: Incoming, limit: u64) -> Result<Self, Code> {
        if body.is_end_stream() {
            return Ok(Self::Buffered(None));
        }
        let length = headers
            .get(CONTENT_LENGTH)
            .and_then(|value| value.to_str().ok())
            .and_then(|text| text.parse::<usize>().ok());
        let limit = usize::try_from(limit).unwrap_or(usize::MAX);
        match length {
            Some(length) if length > limit => Err(Code::RequestTooLarge),
            Some(length) if length > MAX_BUFFERED_BYTES => {
                Ok(Self::Streamed(None, Limited::new(body, limit)))
            }
            Some(_) | None => {
                match compio::time::timeout(BUFFER_TIMEOUT, buffer(body, limit)).await {
                    Ok(buffered) => buffered,
                    Err(_) => Err(Code::RequestMalformed),
                }
            }
        }
    }

    /// Clones the body; none if it cannot be sent twice.
    pub fn try_clone(&self) -> Option<Self> {
        match self {
            Self::Buffered(bytes) => Some(Self::Buffered(bytes.clone())),
            Self::Streamed(..) => None,
        }
    }
}

impl Body for RequestBody {
    type Data = Bytes;
    type Error = Box<dyn std::error::Error + Send + Sync>;

    fn poll_frame(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Self::Error>>> {
        match self.get_mut() {
            Self::Buffered(bytes) => Poll::Ready(bytes.take().map(|bytes| Ok(Frame::data(bytes)))),
            Self::Streamed(first, rest) => match first.take() {
                Some(first) => Poll::Ready(Some(Ok(Frame::data(first)))),
                None => Pin::new(rest).poll_frame(context),
            },
        }
    }

    fn is_end_stream(&self) -> bool {
        match self {
            Self::Buffered(bytes) => bytes.is_none(),
            Self::Streamed(first, rest) => first.is_none() && rest.is_end_stream(),
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Self::Buffered(bytes) => {
                let length = bytes.as_ref().map(Bytes::len).unwrap_or_default();
                SizeHint::with_exact(u64::try_from(length).unwrap_or_default())
            }
            Self::Streamed(Some(_), _) => SizeHint::new(),
            Self::Streamed(None, rest) => rest.size_hint(),
        }
    }
}

/// Buffers a body until it ends or is too long to be buffered.
async fn buffer(mut body: Incoming, limit: usize) -> Result<RequestBody, Code> {
    let mut buffered = Vec::new();
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|_| Code::RequestMalformed)?;
        if let Some(data) = frame.data_ref() {
            buffered.extend_from_slice(data);
        }
        if buffered.len() > limit {
            return Err(Code::RequestTooLarge);
        }
        if buffered.len() > MAX_BUFFERED_BYTES {
            let rest = Limited::new(body, limit - buffered.len());
            return Ok(RequestBody::Streamed(Some(Bytes::from(buffered)), rest));
        }
    }
    Ok(RequestBody::Buffered(
        Some(Bytes::from(buffered)).filter(|buffered| !buffered.is_empty()),
    ))
}
