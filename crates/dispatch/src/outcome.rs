//! How a placed request ended.

/// How a placed request ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Outcome {
    /// The endpoint's answer arrived whole.
    Answered,
    /// The endpoint was lost, or was too late, after the request was sent.
    Lost,
    /// The endpoint refused the request before it ran, because it is full.
    Shed,
    /// No connection could be made, and nothing was sent.
    Unreachable,
}
