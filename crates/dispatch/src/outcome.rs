//! How a placed request ended.

/// How a placed request ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Outcome {
    /// The endpoint's complete answer arrived.
    Answered,
    /// The endpoint failed or missed the deadline after the request was sent.
    Lost,
    /// The endpoint was full and refused the request before it ran.
    Shed,
    /// No connection could be established; nothing was sent.
    Unreachable,
}
