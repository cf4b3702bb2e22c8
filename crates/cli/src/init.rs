//! `mimosausher init`: the explicit first start of the stores.

use wire::{
    Init as Start,
    LogMembers, //
};

use crate::{
    client::Client,
    error::Error,
    members,
    options::Init, //
};

/// Starts the log with the stores on the command line, and lists them.
///
/// # Errors
///
/// Any failure of the call.
pub async fn run(client: Client, options: &Init, json: bool) -> Result<(), Error> {
    let stores: Result<_, _> = options
        .stores
        .iter()
        .map(|word| members::parse(word))
        .collect();
    let start = Start { stores: stores? };
    let client = client.with_timeout(members::TIMEOUT);
    let stores: LogMembers = client.post("/v1/init", &start).await?;
    members::print(&stores, json);
    Ok(())
}
