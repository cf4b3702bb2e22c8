//! The endpoints as they announce themselves, each under a lease.

mod directory;
mod endpoint;

pub use crate::{
    directory::Directory,
    endpoint::{
        Endpoint,
        EndpointKey,
        State, //
    },
};
