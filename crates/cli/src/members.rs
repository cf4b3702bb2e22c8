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

/// Time after which a change of the stores that is not done is given up.
pub const TIMEOUT: Duration = Duration::from_secs(30);

/// Reads a store from its word on the command line, `NAME=ADDRESS` with its inner address.
///
/// # Errors
///
/// [`Error::Store`] if the word has another form.
pub fn parse(word: &str) -> Result<StoreAddress, Error> {
    let refuse = || Error::Store(word.into());
    let (name, inner) = word.split_once('=').ok_or_else(refuse)?;
    Ok(StoreAddress {
        inner: inner.parse().map_err(|_| refuse())?,
        name: name.into(),
    })
}

/// Lists the stores, after adding or removing one if the options say so.
///
/// # Errors
///
/// Any failure of the call.
pub async fn run(client: Client, options: &Members, json: bool) -> Result<(), Error> {
    let change = match (&options.add, &options.remove) {
        (Some(_), Some(_)) => return Err(Error::Together("--add", "--remove")),
        (Some(word), None) => Some(MemberChange::Add(parse(word)?)),
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

/// Prints the stores.
pub fn print(stores: &LogMembers, json: bool) {
    if json {
        println!("{}", serde_json::json!(stores));
        return;
    }
    let rows: Vec<_> = stores
        .members
        .iter()
        .map(|member| {
            let leads = stores.leader.as_ref() == Some(&member.name);
            let role = match (leads, member.voter) {
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
        println!("no quorum confirms this store");
    }
}
