//! `mimosausher history`: lists a section's versions, or prints one.

use wire::PastVersion;

use crate::{
    client::Client,
    error::Error,
    options::History,
    table,
    timestamp, //
};

/// Prints the kept versions of a section, oldest first, or the text of one version.
///
/// # Errors
///
/// Any failure of the request, or [`Error::Version`] if there is no such version.
pub async fn run(client: Client, options: &History, json: bool) -> Result<(), Error> {
    let versions = fetch(&client, &options.section).await?;
    if let Some(number) = options.version {
        let past = find(&versions, &options.section, number)?;
        print!("{}", past.text);
        return Ok(());
    }
    if json {
        println!("{}", serde_json::json!(versions));
        return Ok(());
    }
    let rows: Vec<_> = versions.iter().map(row).collect();
    table::print(["VERSION", "TIME", "AUTHOR", "LINES"], &rows);
    Ok(())
}

/// Fetches the kept versions of a section, oldest first.
///
/// # Errors
///
/// Any failure of the request.
pub async fn fetch(client: &Client, section: &str) -> Result<Vec<PastVersion>, Error> {
    client.get(&format!("/v1/history?section={section}")).await
}

/// Finds a version by its number.
///
/// # Errors
///
/// [`Error::Version`] if there is no such version.
pub fn find<'a>(
    versions: &'a [PastVersion],
    section: &str,
    number: u64,
) -> Result<&'a PastVersion, Error> {
    let mut matching = versions.iter().filter(|past| past.version == number);
    matching.next().ok_or_else(|| Error::Version {
        section: section.into(),
        version: number,
    })
}

fn row(past: &PastVersion) -> [String; 4] {
    let lines = match past.text.lines().count() {
        0 => "removed".into(),
        lines => lines.to_string(),
    };
    [
        past.version.to_string(),
        past.time.map(timestamp::format).unwrap_or_default(),
        past.author.as_deref().unwrap_or_default().into(),
        lines,
    ]
}
