//! The body of a request on its way to an endpoint.

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

/// Largest body that is held, so that a slow caller takes no slot, in bytes.
const HELD_BYTES: usize = 64 * 1024;

/// Time that a caller has to send a body that is held.
const HELD_TIMEOUT: Duration = Duration::from_secs(10);

/// The body of a request on its way to an endpoint.
#[derive(Debug)]
pub enum Upload {
    /// A short body, held until the request may no longer be sent again.
    Held(Option<Bytes>),
    /// A long body, passed on as it comes: what came first, and the rest.
    Passed(Option<Bytes>, Limited<Incoming>),
}

impl Upload {
    /// Reads a short body whole, and takes a long one as it is.
    ///
    /// # Errors
    ///
    /// [`Code::RequestTooLarge`] for a body beyond `limit` bytes, and [`Code::RequestMalformed`]
    /// for one that does not come in time or ends early.
    pub async fn read(headers: &HeaderMap, body: Incoming, limit: u64) -> Result<Self, Code> {
        if body.is_end_stream() {
            return Ok(Self::Held(None));
        }
        let length = headers
            .get(CONTENT_LENGTH)
            .and_then(|value| value.to_str().ok())
            .and_then(|text| text.parse::<usize>().ok());
        let limit = usize::try_from(limit).unwrap_or(usize::MAX);
        match length {
            Some(length) if length > limit => Err(Code::RequestTooLarge),
            Some(length) if length > HELD_BYTES => {
                Ok(Self::Passed(None, Limited::new(body, limit)))
            }
            Some(_) | None => match compio::time::timeout(HELD_TIMEOUT, hold(body, limit)).await {
                Ok(held) => held,
                Err(_) => Err(Code::RequestMalformed),
            },
        }
    }

    /// The same body once more; none if it cannot be sent twice.
    pub fn copy(&self) -> Option<Self> {
        match self {
            Self::Held(bytes) => Some(Self::Held(bytes.clone())),
            Self::Passed(..) => None,
        }
    }
}

impl Body for Upload {
    type Data = Bytes;
    type Error = Box<dyn std::error::Error + Send + Sync>;

    fn poll_frame(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Self::Error>>> {
        match self.get_mut() {
            Self::Held(bytes) => Poll::Ready(bytes.take().map(|bytes| Ok(Frame::data(bytes)))),
            Self::Passed(first, rest) => match first.take() {
                Some(first) => Poll::Ready(Some(Ok(Frame::data(first)))),
                None => Pin::new(rest).poll_frame(context),
            },
        }
    }

    fn is_end_stream(&self) -> bool {
        match self {
            Self::Held(bytes) => bytes.is_none(),
            Self::Passed(first, rest) => first.is_none() && rest.is_end_stream(),
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Self::Held(bytes) => {
                let length = bytes.as_ref().map(Bytes::len).unwrap_or_default();
                SizeHint::with_exact(u64::try_from(length).unwrap_or_default())
            }
            Self::Passed(Some(_), _) => SizeHint::new(),
            Self::Passed(None, rest) => rest.size_hint(),
        }
    }
}

/// Reads a body until it ends or is too long to be held.
async fn hold(mut body: Incoming, limit: usize) -> Result<Upload, Code> {
    let mut held = Vec::new();
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|_| Code::RequestMalformed)?;
        if let Some(data) = frame.data_ref() {
            held.extend_from_slice(data);
        }
        if held.len() > limit {
            return Err(Code::RequestTooLarge);
        }
        if held.len() > HELD_BYTES {
            let rest = Limited::new(body, limit - held.len());
            return Ok(Upload::Passed(Some(Bytes::from(held)), rest));
        }
    }
    Ok(Upload::Held(
        Some(Bytes::from(held)).filter(|held| !held.is_empty()),
    ))
}
