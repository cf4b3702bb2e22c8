//! The wire protocol between instances.
//!
//! All encoding between instances is confined to this package: remote calls over TCP, as a
//! `tarpc` service in `postcard` frames, and single datagrams over UDP.

mod audit;
mod call;
mod claim;
mod client;
mod codec;
mod connection;
mod datagram;
mod document;
mod edit;
mod endpoint;
mod error;
mod follow;
mod handover;
mod instance;
mod replication;
mod server;
mod status;

pub use crate::{
    audit::{
        AUDIT_LINES,
        AuditLine,
        AuditQuery,
        PastVersion, //
    },
    call::{
        Inner,
        InnerClient,
        InnerRequest,
        InnerResponse,
        ServeInner, //
    },
    claim::{
        Claim,
        ClaimEnd,
        ClaimRecord,
        ClaimReply, //
    },
    client::Client,
    codec::Postcard,
    connection::connect,
    datagram::{
        Batch,
        Body,
        Datagram,
        MAX_DATAGRAM_BYTES,
        Member,
        Report,
        Route,
        Standing, //
    },
    document::{
        SectionText,
        Update, //
    },
    edit::{
        Edit,
        Outcome, //
    },
    endpoint::{
        Announcement,
        State, //
    },
    error::Error,
    follow::{
        Delta,
        Follow,
        Followed, //
    },
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
    replication::{
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
    server::{
        IDLE_TIMEOUT,
        serve, //
    },
    status::{
        MemberStatus,
        Overview,
        Refusals,
        ServiceStatus,
        Status, //
    },
};
