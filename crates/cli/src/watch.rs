//! `mimosausher watch`: prints each new revision that comes into force at an instance.

use std::collections::BTreeMap;

use serde::{
    Deserialize,
    Serialize, //
};
use wire::SectionText;

use crate::{
    client::Client,
    error::Error,
    options::Watch, //
};

/// Response to a watch request: the document in force at the instance.
#[derive(Debug)]
#[derive(Deserialize, Serialize)]
struct WatchResponse {
    revision: u64,
    sections: Vec<SectionText>,
}

/// Prints the revision in force and later ones, with the sections that were changed or removed.
///
/// Of the revisions that come into force between two requests, only the last is printed.
///
/// # Errors
///
/// Any failure of a request.
pub async fn run(client: Client, options: &Watch, json: bool) -> Result<(), Error> {
    let mut previous = BTreeMap::<Box<str>, u64>::new();
    let mut revision = 0;
    let mut count = 0;
    while options.count.is_none_or(|max| count < max) {
        let path = format!("/v1/watch?revision={revision}");
        let response: WatchResponse = client.get(&path).await?;
        if response.revision <= revision {
            continue;
        }
        revision = response.revision;
        count += 1;
        let sections: BTreeMap<_, _> = response
            .sections
            .iter()
            .map(|section| (section.name.clone(), section.version))
            .collect();
        if json {
            println!("{}", serde_json::json!(response));
        } else {
            println!("revision {revision}: {}", changes(&previous, &sections));
        }
        previous = sections;
    }
    Ok(())
}

/// Lists the sections that were changed, then those that were removed, each sorted by name.
fn changes(before: &BTreeMap<Box<str>, u64>, after: &BTreeMap<Box<str>, u64>) -> String {
    let changed = after
        .iter()
        .filter(|(name, version)| before.get(*name) != Some(version))
        .map(|(name, version)| format!("{name} version {version}"));
    let removed = before
        .keys()
        .filter(|name| !after.contains_key(*name))
        .map(|name| format!("{name} removed"));
    let parts: Vec<_> = changed.chain(removed).collect();
    parts.join(", ")
}
