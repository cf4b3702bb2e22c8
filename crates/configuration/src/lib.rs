//! The operators' document in force at an instance.
//!
//! A change touches only the sections that it names, so that its cost does not grow with the
//! document.

mod change;
mod configuration;

pub use crate::{
    change::{
        Change,
        Prepared,
        Text, //
    },
    configuration::{
        Configuration,
        ServiceKey, //
    },
};
