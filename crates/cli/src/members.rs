//! `mimosausher members`: lists the stores, adds one, or removes one.

use std::time::Duration;

use wire::{
    LogMembers,
    MemberChange,
    StoreAddress, //
};

use crate::{
    client::Client,
    error::Error,
    options::Members,
    table, //
};

/// Request timeout for listing, adding or removing stores, and for `init`.
pub const TIMEOUT: Duration = Duration::from_secs(30);

/// Parses a store from the command line, given as `NAME=ADDRESS` with its inner address.
///
/// # Errors
///
/// [`Error::Store`] if the argument has another form.
pub fn parse(arg: &str) -> Result<StoreAddress, Error> {
    let invalid = || Error::Store(arg.into());
    let (name, inner) = arg.split_once('=').ok_or_else(invalid)?;
    Ok(StoreAddress {
        inner: inner.parse().map_err(|_| invalid())?,
        name: name.into(),
    })
}

/// Adds or removes a store if the options say so, then lists the stores.
///
/// # Errors
///
/// [`Error::Exclusive`] or [`Error::Store`] for invalid options, or any failure of the request.
pub async fn run(client: Client, options: &Members, json: bool) -> Result<(), Error> {
    let change = match (&options.add, &options.remove) {
        (Some(_), Some(_)) => return Err(Error::Exclusive("--add", "--remove")),
        (Some(arg), None) => Some(MemberChange::Add(parse(arg)?)),
        (None, Some(name)) => Some(MemberChange::Remove(name.as_str().into())),
        (None, None) => None,
    };
    let client = client.with_timeout(TIMEOUT);
    let stores: LogMembers = match change {
        Some(change) => client.post("/v1/members", &change).await?,
        None => client.get("/v1/members").await?,
    };
    print(&stores, json);
    Ok(())
}

/// Prints the stores as a table or as JSON.
pub fn print(stores: &LogMembers, json: bool) {
    if json {
        println!("{}", serde_json::json!(stores));
        return;
    }
    let rows: Vec<_> = stores
        .members
        .iter()
        .map(|member| {
            let leading = stores.leader.as_ref() == Some(&member.name);
            let role = match (leading, member.voter) {
                (true, _) => "leader",
                (false, true) => "voter",
                (false, false) => "learner",
            };
            [
                member.name.to_string(),
                role.into(),
                member.inner.to_string(),
                member.id.to_string(),
            ]
        })
        .collect();
    table::print(["NAME", "ROLE", "INNER", "ID"], &rows);
    if !stores.confirmed {
        println!("the queried store is not in contact with a quorum");
    }
}
