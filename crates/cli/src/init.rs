//! `mimosausher init`: initialises the replicated log of new stores.

use wire::{
    Init as InitRequest,
    LogMembers, //
};

use crate::{
    client::Client,
    error::Error,
    members,
    options::Init, //
};

/// Initialises the log with the stores on the command line, and lists its members.
///
/// # Errors
///
/// [`Error::Store`] for an invalid argument, or any failure of the request.
pub async fn run(client: Client, options: &Init, json: bool) -> Result<(), Error> {
    let stores: Result<_, _> = options
        .stores
        .iter()
        .map(|arg| members::parse(arg))
        .collect();
    let request = InitRequest { stores: stores? };
    let client = client.with_timeout(members::TIMEOUT);
    let stores: LogMembers = client.post("/v1/init", &request).await?;
    members::print(&stores, json);
    Ok(())
}
