//! `mimosausher status`: describes an instance and those that it knows.

use serde::{
    Deserialize,
    Serialize, //
};
use wire::Instance;

use crate::{
    client::Client,
    error::Error,
    table, //
};

/// What an instance says of itself and of those that it knows.
#[derive(Debug)]
#[derive(Deserialize, Serialize)]
struct Status {
    endpoints: usize,
    instance: Instance,
    instances: Vec<Instance>,
    ready: bool,
    revision: u64,
    running: u32,
}

/// Prints the instance's state, then all instances in the order of their names.
///
/// # Errors
///
/// Any failure of the call.
pub async fn run(client: Client, json: bool) -> Result<(), Error> {
    let status: Status = client.get("/v1/status").await?;
    if json {
        println!("{}", serde_json::json!(status));
        return Ok(());
    }
    println!(
        "{}: revision {}, {} endpoints, {} requests running, {}",
        status.instance.name,
        status.revision,
        status.endpoints,
        status.running,
        if status.ready { "ready" } else { "not ready" }
    );
    let mut instances = status.instances;
    instances.push(status.instance);
    instances.sort_by(|one, other| one.name.cmp(&other.name));
    let rows: Vec<_> = instances
        .iter()
        .map(|instance| {
            [
                instance.name.to_string(),
                instance.centre.to_string(),
                if instance.store { "yes" } else { "no" }.to_owned(),
                instance.addresses.admin.to_string(),
            ]
        })
        .collect();
    table::print(["NAME", "CENTRE", "STORE", "ADMIN"], &rows);
    Ok(())
}
