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
    /// A long body, passed on as it comes, with the bytes that may still come.
    Passed(Limited<Incoming>),
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
            .and_then(|text| text.parse::<u64>().ok());
        let most = usize::try_from(limit).unwrap_or(usize::MAX);
        match length {
            Some(length) if length > limit => Err(Code::RequestTooLarge),
            Some(length) if usize::try_from(length).is_ok_and(|length| length <= HELD_BYTES) => {
                let whole = Limited::new(body, HELD_BYTES).collect();
                match compio::time::timeout(HELD_TIMEOUT, whole).await {
                    Ok(Ok(whole)) => Ok(Self::Held(Some(whole.to_bytes()))),
                    Ok(Err(_)) | Err(_) => Err(Code::RequestMalformed),
                }
            }
            Some(_) | None => Ok(Self::Passed(Limited::new(body, most))),
        }
    }

    /// The same body once more; none if it cannot be sent twice.
    pub fn copy(&self) -> Option<Self> {
        match self {
            Self::Held(bytes) => Some(Self::Held(bytes.clone())),
            Self::Passed(_) => None,
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
            Self::Passed(body) => Pin::new(body).poll_frame(context),
        }
    }

    fn is_end_stream(&self) -> bool {
        match self {
            Self::Held(bytes) => bytes.is_none(),
            Self::Passed(body) => body.is_end_stream(),
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Self::Held(bytes) => {
                let length = bytes.as_ref().map(Bytes::len).unwrap_or_default();
                SizeHint::with_exact(u64::try_from(length).unwrap_or_default())
            }
            Self::Passed(body) => body.size_hint(),
        }
    }
}
