//! Keys of what a run keeps.

slotmap::new_key_type! {
    /// Key of a flow.
    pub struct FlowKey;

    /// Key of a request.
    pub struct RequestKey;
}
