//! The status and overview pages.

use std::{
    collections::BTreeMap,
    time::Duration, //
};

use directory::{
    Endpoint,
    State, //
};
use futures::future::join_all;
use membership::{
    Instance,
    Standing, //
};
use tarpc::context;
use wire::{
    MemberStatus,
    Overview,
    ServiceStatus,
    Status, //
};

use crate::{
    convert_member,
    node::Node, //
};

/// Time after which an instance that has not answered counts as silent.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(1);

/// Describes this instance and the instances that it knows.
pub fn page(node: &Node) -> Status {
    Status {
        endpoints: node.view.directory.borrow().iter().count(),
        instance: node.own_instance(),
        instances: node
            .view
            .members
            .borrow()
            .iter()
            .map(convert_member::instance_to_wire)
            .collect(),
        log: node
            .replica
            .as_ref()
            .map(|replica| replica::members(&replica.borrow(), node.now())),
        ready: node.ready(),
        refusals: node.metrics.refusal_counts(),
        revision: node.view.configuration.borrow().revision(),
        running: node.pools.running_total(),
        services: services(node),
        stopping: node.shutdown.begun(),
    }
}

/// Collects the status of all known instances in parallel.
///
/// Instances that do not answer within [`ANSWER_TIMEOUT`] are listed as silent.
pub async fn overview(node: &Node) -> Overview {
    let peers: Vec<_> = node
        .view
        .members
        .borrow()
        .all()
        .filter(|member| member.standing != Standing::Left)
        .map(|member| (member.instance.clone(), member.standing))
        .collect();
    let queries = peers.iter().map(|(instance, _)| query(instance));
    let answers = join_all(queries).await;
    let mut members: Vec<_> = peers
        .into_iter()
        .zip(answers)
        .map(|((instance, standing), status)| member(instance, standing, status))
        .collect();
    let own = node.view.members.borrow().own().clone();
    members.push(member(own, Standing::Alive, Some(page(node))));
    summarise(&node.settings.instance.name, members)
}

async fn query(instance: &Instance) -> Option<Status> {
    let call = async {
        let client = wire::connect(instance.inner).await.ok()?;
        client.status(context::current()).await.ok()
    };
    compio::time::timeout(ANSWER_TIMEOUT, call)
        .await
        .ok()
        .flatten()
}

fn member(instance: Instance, standing: Standing, status: Option<Status>) -> MemberStatus {
    MemberStatus {
        centre: instance.centre,
        lag: 0,
        name: instance.name,
        standing: convert_member::standing_to_wire(standing),
        status,
    }
}

fn summarise(own_name: &str, mut members: Vec<MemberStatus>) -> Overview {
    members.sort_by(|one, other| (&one.centre, &one.name).cmp(&(&other.centre, &other.name)));
    let statuses = || members.iter().filter_map(|member| member.status.as_ref());
    let revision = statuses().map(|status| status.revision).max();
    let revision = revision.unwrap_or_default();
    let leader = statuses()
        .filter_map(|status| status.log.as_ref())
        .filter(|log| log.confirmed)
        .max_by_key(|log| log.term)
        .and_then(|log| log.leader.clone());
    for member in &mut members {
        let applied = member.status.as_ref().map(|status| status.revision);
        member.lag = applied.map_or(0, |applied| revision - applied);
    }
    Overview {
        asked: own_name.into(),
        leader,
        revision,
        silent: members
            .iter()
            .filter(|member| member.status.is_none())
            .map(|member| member.name.clone())
            .collect(),
        members,
    }
}

fn services(node: &Node) -> Vec<ServiceStatus> {
    let directory = node.view.directory.borrow();
    let now = node.now();
    let mut services = BTreeMap::new();
    let mut connections: BTreeMap<Box<str>, Vec<u32>> = BTreeMap::new();
    for (key, endpoint) in directory.iter() {
        let service = service_status(&mut services, endpoint);
        match endpoint.state {
            State::Draining => service.draining += 1,
            State::Ready if directory.accepts_work(now, key) => service.ready += 1,
            State::Ready => service.stale += 1,
            State::Starting => service.starting += 1,
        }
        if endpoint.state == State::Ready {
            let name = endpoint.service.clone();
            let counts = connections.entry(name).or_default();
            counts.push(endpoint.connections);
        }
    }
    for endpoint in directory.waiting() {
        service_status(&mut services, endpoint).waiting += 1;
    }
    for (name, counts) in connections {
        if let Some(service) = services.get_mut(&name) {
            service.imbalance = imbalance(&counts);
        }
    }
    services.into_values().collect()
}

fn service_status<'a>(
    services: &'a mut BTreeMap<Box<str>, ServiceStatus>,
    endpoint: &Endpoint,
) -> &'a mut ServiceStatus {
    let name = endpoint.service.clone();
    services
        .entry(name.clone())
        .or_insert_with(|| ServiceStatus {
            draining: 0,
            imbalance: 1.0,
            name,
            ready: 0,
            stale: 0,
            starting: 0,
            waiting: 0,
        })
}

/// Returns the ratio of the highest count to the mean; 1 if all counts are 0.
fn imbalance(counts: &[u32]) -> f64 {
    let sum: f64 = counts.iter().copied().map(f64::from).sum();
    let count: f64 = counts.iter().map(|_| 1.0).sum();
    let highest = counts.iter().copied().max().map_or(0.0, f64::from);
    if sum > 0.0 {
        highest * count / sum
    } else {
        1.0
    }
}
