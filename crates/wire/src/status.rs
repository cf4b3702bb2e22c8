//! Status of instances and services.

use serde::{
    Deserialize,
    Serialize, //
};

use crate::{
    datagram::Standing,
    instance::Instance,
    replication::LogMembers, //
};

/// Number of refusals with a result code.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct RefusalCount {
    /// Result code.
    pub code: u16,
    /// Number of refusals since the process started.
    pub count: u64,
}

/// Endpoints of a service, as seen by an instance.
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct ServiceStatus {
    /// Number of draining endpoints.
    pub draining: u32,
    /// Ratio of the highest connection count of a ready endpoint to the mean; 1 if there are no
    /// connections or the ratio is not measured.
    pub imbalance: f64,
    /// Name of the service.
    pub name: Box<str>,
    /// Number of endpoints that accept new work.
    pub ready: u32,
    /// Number of ready endpoints without a recent confirmation, which get no new work.
    pub stale: u32,
    /// Number of endpoints that are not yet ready.
    pub starting: u32,
    /// Number of endpoints that wait for their address to become free.
    pub waiting: u32,
}

/// Status of an instance, including its view of other instances.
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct Status {
    /// Number of endpoints with a valid lease, without those that wait for their address.
    pub endpoints: usize,
    /// The instance itself.
    pub instance: Instance,
    /// Other instances that are alive or suspected.
    pub instances: Vec<Instance>,
    /// Members of the replicated log; `None` if this instance is not a store.
    pub log: Option<LogMembers>,
    /// Whether the instance is ready to serve.
    pub ready: bool,
    /// Refusals by result code.
    pub refusals: Vec<RefusalCount>,
    /// Revision of the document in force.
    pub revision: u64,
    /// Number of running requests.
    pub running: u32,
    /// Services that have endpoints.
    pub services: Vec<ServiceStatus>,
    /// Whether a planned stop has begun.
    pub stopping: bool,
}

/// A member with its status reply.
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct MemberStatus {
    /// Name of the member's data centre.
    pub centre: Box<str>,
    /// Number of revisions behind the latest one found; 0 if the member did not answer.
    pub lag: u64,
    /// Name of the member.
    pub name: Box<str>,
    /// Membership state, as seen by the gathering instance.
    pub standing: Standing,
    /// Status reply; `None` if the member did not answer in time.
    pub status: Option<Status>,
}

/// Status of all known instances that have not left, gathered by one of them.
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct Overview {
    /// Name of the gathering instance.
    pub asked: Box<str>,
    /// Name of the leader of the stores; `None` if unknown.
    pub leader: Option<Box<str>>,
    /// The instances, ordered by data centre and name.
    pub members: Vec<MemberStatus>,
    /// The latest revision found.
    pub revision: u64,
    /// Names of instances that did not answer in time.
    pub silent: Vec<Box<str>>,
}
