//! `mimosausher endpoints`: lists the endpoints known to an instance.

use wire::Announcement;

use crate::{
    client::Client,
    error::Error,
    table, //
};

/// Prints the endpoints, sorted by name.
///
/// # Errors
///
/// Any failure of the request.
pub async fn run(client: Client, json: bool) -> Result<(), Error> {
    let endpoints: Vec<Announcement> = client.get("/v1/endpoints").await?;
    if json {
        println!("{}", serde_json::json!(endpoints));
        return Ok(());
    }
    let rows: Vec<_> = endpoints
        .iter()
        .map(|endpoint| {
            [
                endpoint.name.to_string(),
                endpoint.service.to_string(),
                endpoint.centre.to_string(),
                format!("{:?}", endpoint.state).to_lowercase(),
                endpoint.slots.to_string(),
                endpoint.connections.to_string(),
                format!("{:.2}", endpoint.load),
                endpoint.address.to_string(),
            ]
        })
        .collect();
    let heading = [
        "NAME",
        "SERVICE",
        "CENTRE",
        "STATE",
        "SLOTS",
        "CONNECTIONS",
        "LOAD",
        "ADDRESS",
    ];
    table::print(heading, &rows);
    Ok(())
}
