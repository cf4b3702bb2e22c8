//! What instances say of their state.

use serde::{
    Deserialize,
    Serialize, //
};

use crate::{
    datagram::Standing,
    instance::Instance,
    log::LogMembers, //
};

/// How often a result code was given.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct Refusals {
    /// Number of the code.
    pub code: u16,
    /// How often since the process started.
    pub count: u64,
}

/// A service's endpoints as an instance knows them.
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct ServiceStatus {
    /// Endpoints that finish what they have.
    pub draining: u32,
    /// Connections of the busiest ready endpoint over their mean; 1 if there are none.
    pub imbalance: f64,
    /// Name of the service.
    pub name: Box<str>,
    /// Endpoints that take new work.
    pub ready: u32,
    /// Ready endpoints that were not confirmed lately and get no new work.
    pub stale: u32,
    /// Endpoints that are not yet ready.
    pub starting: u32,
    /// Endpoints that wait until their address is free.
    pub waiting: u32,
}

/// What an instance says of itself and of those that it knows.
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct Status {
    /// Endpoints under a lease.
    pub endpoints: usize,
    /// The instance.
    pub instance: Instance,
    /// Other instances that are present.
    pub instances: Vec<Instance>,
    /// The stores as this one knows them; none from other instances.
    pub log: Option<LogMembers>,
    /// Whether it can serve.
    pub ready: bool,
    /// Refusals by code.
    pub refusals: Vec<Refusals>,
    /// Revision of the document in force.
    pub revision: u64,
    /// Requests that run.
    pub running: u32,
    /// Services with endpoints.
    pub services: Vec<ServiceStatus>,
    /// Whether a planned stop has begun.
    pub stopping: bool,
}

/// A member with what it answered.
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct MemberStatus {
    /// Name of its data centre.
    pub centre: Box<str>,
    /// Revisions that it is behind the newest one that was found.
    pub lag: u64,
    /// Its name.
    pub name: Box<str>,
    /// What the asked instance knows of its presence.
    pub standing: Standing,
    /// Its own answer; none if it was silent.
    pub status: Option<Status>,
}

/// What an instance has gathered from all those that it knows.
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct Overview {
    /// Name of the instance that gathered it.
    pub asked: Box<str>,
    /// Name of the leading store; none if none is known.
    pub leader: Option<Box<str>>,
    /// The instances, by data centre and name.
    pub members: Vec<MemberStatus>,
    /// The newest revision that was found.
    pub revision: u64,
    /// Names of instances that did not answer in time.
    pub silent: Vec<Box<str>>,
}
