//! Which instances are present, by heartbeat, incarnation and suspicion.

mod instance;
mod members;

pub use crate::{
    instance::Instance,
    members::Members, //
};
