//! An endpoint as a policy sees it.

/// An endpoint as a policy sees it at the moment of a choice.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct View<K> {
    /// Whether it refused a request as full a moment ago.
    pub full: bool,
    /// Slots that this entry's own requests freed and that it has not used again.
    pub idle: u16,
    /// Key of the endpoint.
    pub key: K,
    /// Requests that other entries said they have there.
    pub others: u16,
    /// Share of its capacity that it last reported to be in use.
    pub reported: f32,
    /// Requests that this entry has there.
    pub running: u16,
    /// Requests that it may be given at once; lower than its own word while it warms up.
    pub slots: u16,
    /// Whether it answers much more slowly than its peers.
    pub slow: bool,
    /// Whether it lately refused a request as full and no slot has been freed since.
    pub taken: bool,
}
