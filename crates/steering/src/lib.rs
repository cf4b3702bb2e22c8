//! Which endpoint each packet of a flow goes to.

mod encapsulation;
mod error;
mod flow;
mod packet;
mod rendezvous;

pub use crate::{
    encapsulation::{
        GRE_BYTES,
        GRE_IPV4,
        GRE_IPV6,
        Payload, //
    },
    error::Error,
    flow::{
        Destination,
        Flow,
        Transport, //
    },
    packet::Packet,
    rendezvous::choose, //
};
