//! Entries and stores of a deployment whose flows carry a reference to their endpoint.
//!
//! An [`Adapter`] implements the protocol of a platform, on which nothing else here depends. All
//! tasks of a process run on one thread. The logic is in the state machines of the packages
//! `announcements`, `placement` and `store`; this package connects them to the sockets, the disk
//! and the clock.

mod adapter;
mod admin;
mod backoff;
mod beacons;
mod cache_file;
mod calls;
mod centre_entries;
mod clock;
mod control;
mod decisions;
mod document;
mod document_file;
mod endpoint_file;
mod endpoint_performance;
mod entry;
mod entry_file;
mod error;
mod evacuation_file;
mod evacuation_metrics;
mod evacuations;
mod feed;
mod follow;
mod follower;
mod forward;
mod frames;
mod internal_server;
mod known_entries;
mod link;
mod link_metrics;
mod links;
mod load_delta;
mod load_sums;
mod locality;
mod logs;
mod message;
mod metrics;
mod peers;
mod performance_metrics;
mod performance_sums;
mod readiness;
mod reload;
mod run;
mod run_entry;
mod run_store;
mod settings;
mod sockets;
mod staleness;
mod state;
mod status;
mod store_choice;
mod store_loads;
mod store_performance;
mod terms;
mod trailing;
mod view;
mod view_endpoints;
mod view_packets;
mod view_routes;
mod view_warmup;
mod warmup_metrics;

pub use crate::{
    adapter::{
        Adapter,
        Call,
        Packet,
        PacketKind,
        Reply, //
    },
    backoff::Backoff,
    beacons::Beacons,
    centre_entries::CentreEntries,
    document::{
        Document,
        Route,
        Share, //
    },
    endpoint_performance::EndpointPerformance,
    error::Error,
    follower::Follower,
    known_entries::KnownEntries,
    load_delta::LoadDelta,
    load_sums::{
        LoadStep,
        LoadSums,
        SourceKey, //
    },
    locality::Locality,
    message::{
        BUSY_UNITS,
        EndpointLoad,
        FollowerReport,
        Gossip,
        Protocol,
        Push,
        StoreLocation, //
    },
    peers::Peers,
    performance_sums::PerformanceSums,
    run::run,
    settings::{
        Role,
        Settings, //
    },
    staleness::Staleness,
    store_choice::StoreChoice,
    store_loads::{
        FollowerKey,
        StoreLoads, //
    },
    store_performance::{
        PERFORMANCE_INTERVAL,
        PerformanceSent,
        StorePerformance, //
    },
    terms::{
        RouteTerms,
        ServiceTerms,
        Terms, //
    },
    view::View,
};
