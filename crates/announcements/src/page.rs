//! A part of the changes of a registry.

use crate::{
    record::Record,
    renewal::Renewal,
    state_change::StateChange, //
};

/// A part of the changes of a registry, oldest first.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Page {
    /// Whether further changes follow.
    pub more: bool,
    /// The changed records.
    pub records: Vec<Record>,
    /// Changed records of which the other store lacks nothing but the last announcement.
    pub renewals: Vec<Renewal>,
    /// Changed records of which the entry lacks nothing but the state.
    pub states: Vec<StateChange>,
    /// Number of the last change that this page and the pages before it cover.
    pub upto: u64,
}
