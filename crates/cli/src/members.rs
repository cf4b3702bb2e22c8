//! `mimosausher members`: lists the stores, adds one, or removes one.

use std::net::SocketAddr;

use serde::{
    Deserialize,
    Serialize, //
};

use crate::{
    client::Client,
    error::Error,
    options::Members,
    table, //
};

/// A store as it is named on the command line: `NAME=ADDRESS`, its inner address.
#[derive(Clone, Debug, Serialize)]
pub struct Store {
    inner: SocketAddr,
    name: Box<str>,
}

impl Store {
    /// Reads a store from its word on the command line.
    ///
    /// # Errors
    ///
    /// [`Error::Store`] if the word has another form.
    pub fn parse(word: &str) -> Result<Self, Error> {
        let refuse = || Error::Store(word.into());
        let (name, inner) = word.split_once('=').ok_or_else(refuse)?;
        Ok(Self {
            inner: inner.parse().map_err(|_| refuse())?,
            name: name.into(),
        })
    }
}

/// A change of the stores.
#[derive(Clone, Debug, Serialize)]
#[serde(rename_all = "lowercase")]
enum Change {
    Add(Store),
    Remove(Box<str>),
}

/// The stores of the log.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Stores {
    confirmed: bool,
    leader: Option<Box<str>>,
    members: Vec<Member>,
    term: u64,
}

/// One store of the log.
#[derive(Clone, Debug, Deserialize, Serialize)]
struct Member {
    id: Box<str>,
    inner: SocketAddr,
    name: Box<str>,
    voter: bool,
}

/// Lists the stores, after adding or removing one if the options say so.
///
/// # Errors
///
/// Any failure of the call.
pub async fn run(client: Client, options: &Members, json: bool) -> Result<(), Error> {
    let change = match (&options.add, &options.remove) {
        (Some(_), Some(_)) => return Err(Error::Together("--add", "--remove")),
        (Some(word), None) => Some(Change::Add(Store::parse(word)?)),
        (None, Some(name)) => Some(Change::Remove(name.as_str().into())),
        (None, None) => None,
    };
    let stores: Stores = match change {
        Some(change) => client.post("/v1/members", &change).await?,
        None => client.get("/v1/members").await?,
    };
    print(&stores, json);
    Ok(())
}

/// Prints the stores.
pub fn print(stores: &Stores, json: bool) {
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
