//! The inner protocol between the system's processes.
//!
//! This is the only package that knows the bytes between instances: calls over TCP, as a
//! `tarpc` service in `postcard` frames, and single datagrams over UDP.

mod call;
mod claim;
mod codec;
mod connection;
mod datagram;
mod endpoint;
mod error;
mod handover;
mod instance;
mod log;
mod server;

pub use crate::{
    call::{
        Edit,
        Follow,
        Inner,
        InnerClient,
        InnerRequest,
        InnerResponse,
        Outcome,
        SectionText,
        ServeInner,
        Update, //
    },
    claim::{
        Claim,
        ClaimEnd,
        ClaimRecord,
        ClaimReply, //
    },
    codec::Postcard,
    connection::connect,
    datagram::{
        Datagram,
        MAX_DATAGRAM_BYTES, //
    },
    endpoint::{
        Announcement,
        State, //
    },
    error::Error,
    handover::{
        CopiedFlows,
        FlowDatagram,
        Handover,
        MAX_HANDOVER_BYTES,
        Task, //
    },
    instance::{
        Addresses,
        Instance, //
    },
    log::{
        Decision,
        Identity,
        Init,
        LogMember,
        LogMembers,
        LogMessage,
        MemberChange,
        Proposal,
        StoreAddress, //
    },
    server::serve, //
};
