//! The wire protocol between instances.
//!
//! All encoding between instances is confined to this package: remote calls over TCP, as a
//! `tarpc` service in `postcard` frames, and single datagrams over UDP. Only the bytes of a
//! [`LogMessage`] are encoded elsewhere.

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
        AuditLine,
        AuditQuery,
        DEFAULT_AUDIT_LINES,
        SectionVersion, //
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
        Datagram,
        MAX_DATAGRAM_BYTES,
        MembershipBody,
        MembershipMessage,
        Report,
        Route,
        Standing, //
    },
    document::{
        DocumentSnapshot,
        SectionText, //
    },
    edit::{
        Edit,
        EditOutcome, //
    },
    endpoint::{
        Announcement,
        EndpointState, //
    },
    error::Error,
    follow::{
        Delta,
        FollowReply,
        FollowRequest, //
    },
    handover::{
        CopiedFlows,
        FlowDatagram,
        HandoverHeader,
        HandoverTask,
        MAX_HANDOVER_BYTES, //
    },
    instance::{
        Addresses,
        Instance, //
    },
    replication::{
        Init,
        LogMember,
        LogMembers,
        LogMessage,
        MemberChange,
        Proposal,
        ProposalReply,
        StoreAddress,
        StoreIdentity, //
    },
    server::{
        IDLE_TIMEOUT,
        serve, //
    },
    status::{
        MemberStatus,
        Overview,
        RefusalCount,
        ServiceStatus,
        Status, //
    },
};
