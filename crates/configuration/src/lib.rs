//! The configuration document in force on an instance.
//!
//! A change modifies only the sections that it names, so that its cost is independent of the size
//! of the document.

mod change;
mod configuration;

pub use crate::{
    change::{
        Change,
        PreparedChange,
        Text, //
    },
    configuration::{
        Configuration,
        ServiceKey, //
    },
};
