//! `mimosausher status`: prints the state of all instances known to the queried one.

use wire::{
    MemberStatus,
    Overview,
    Status, //
};

use crate::{
    client::Client,
    error::Error,
    table, //
};

/// Result code of a flow that was reset because its endpoint was gone.
const FLOW_ENDPOINT_GONE: u16 = codes::Code::FlowEndpointGone.number();

/// Prints a summary, the instances by data centre, and the number of endpoints of each service in
/// each state, as known to the queried instance.
///
/// # Errors
///
/// Any failure of the request.
pub async fn run(client: Client, json: bool) -> Result<(), Error> {
    let overview: Overview = client.get("/v1/overview").await?;
    if json {
        println!("{}", serde_json::json!(overview));
        return Ok(());
    }
    print_summary(&overview);
    print_instances(&overview);
    print_services(&overview);
    Ok(())
}

fn print_summary(overview: &Overview) {
    let lagging = overview.members.iter().filter(|member| member.lag > 0);
    println!(
        "{}: revision {}, leader {}, {} instances, {} behind, {} silent",
        overview.asked,
        overview.revision,
        overview.leader.as_deref().unwrap_or("unknown"),
        overview.members.len(),
        lagging.count(),
        overview.silent.len()
    );
    if !overview.silent.is_empty() {
        println!("silent: {}", overview.silent.join(", "));
    }
}

fn print_instances(overview: &Overview) {
    let rows: Vec<_> = overview
        .members
        .iter()
        .map(|member| row(member, overview.leader.as_deref()))
        .collect();
    println!();
    table::print(
        [
            "CENTRE", "NAME", "ROLE", "STATE", "REVISION", "BEHIND", "BROKEN", "REFUSED",
            "RUNNING", "ADMIN",
        ],
        &rows,
    );
}

fn row(member: &MemberStatus, leader: Option<&str>) -> [String; 10] {
    let labels = [member.centre.to_string(), member.name.to_string()];
    let [centre, name] = labels;
    let Some(status) = &member.status else {
        let state = format!("{:?}, silent", member.standing).to_lowercase();
        let blank = || "-".to_owned();
        return [
            centre,
            name,
            blank(),
            state,
            blank(),
            blank(),
            blank(),
            blank(),
            blank(),
            blank(),
        ];
    };
    let role = match status.instance.store {
        true if leader == Some(&*member.name) => "leader",
        true => "store",
        false => "entry",
    };
    [
        centre,
        name,
        role.to_owned(),
        state(status).to_owned(),
        status.revision.to_string(),
        member.lag.to_string(),
        count_refusals(status, |code| code == FLOW_ENDPOINT_GONE).to_string(),
        count_refusals(status, |code| code != FLOW_ENDPOINT_GONE).to_string(),
        status.running.to_string(),
        status.instance.addresses.admin.to_string(),
    ]
}

const fn state(status: &Status) -> &'static str {
    match (status.stopping, status.ready) {
        (true, _) => "stopping",
        (false, true) => "ready",
        (false, false) => "not ready",
    }
}

fn count_refusals(status: &Status, filter: impl Fn(u16) -> bool) -> u64 {
    let refusals = status.refusals.iter();
    refusals
        .filter(|refusal| filter(refusal.code))
        .map(|refusal| refusal.count)
        .sum()
}

fn print_services(overview: &Overview) {
    let queried = overview
        .members
        .iter()
        .find(|member| member.name == overview.asked);
    let Some(status) = queried.and_then(|member| member.status.as_ref()) else {
        return;
    };
    let rows: Vec<_> = status
        .services
        .iter()
        .map(|service| {
            [
                service.name.to_string(),
                service.ready.to_string(),
                service.draining.to_string(),
                service.starting.to_string(),
                service.stale.to_string(),
                service.waiting.to_string(),
                format!("{:.2}", service.imbalance),
            ]
        })
        .collect();
    println!();
    table::print(
        [
            "SERVICE",
            "READY",
            "DRAINING",
            "STARTING",
            "STALE",
            "WAITING",
            "IMBALANCE",
        ],
        &rows,
    );
}
