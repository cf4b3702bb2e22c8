//! `mimosausher init`: the explicit first start of the stores.

use serde::Serialize;

use crate::{
    client::Client,
    error::Error,
    members::{
        self,
        Store,
        Stores, //
    },
    options::Init,
};

/// The stores of the first start.
#[derive(Debug, Serialize)]
struct Start {
    stores: Vec<Store>,
}

/// Starts the log with the stores on the command line, and lists them.
///
/// # Errors
///
/// Any failure of the call.
pub async fn run(client: Client, options: &Init, json: bool) -> Result<(), Error> {
    let stores: Result<_, _> = options
        .stores
        .iter()
        .map(|word| Store::parse(word))
        .collect();
    let start = Start { stores: stores? };
    let stores: Stores = client.post("/v1/init", &start).await?;
    members::print(&stores, json);
    Ok(())
}
