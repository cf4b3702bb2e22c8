//! `mimosausher history`: lists a section's versions, or prints one.

use wire::SectionVersion;

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
        let version = find(&versions, &options.section, number)?;
        print!("{}", version.text);
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
pub async fn fetch(client: &Client, section: &str) -> Result<Vec<SectionVersion>, Error> {
    client.get(&format!("/v1/history?section={section}")).await
}

/// Finds a version by its number.
///
/// # Errors
///
/// [`Error::Version`] if there is no such version.
pub fn find<'a>(
    versions: &'a [SectionVersion],
    section: &str,
    number: u64,
) -> Result<&'a SectionVersion, Error> {
    let mut matching = versions.iter().filter(|version| version.version == number);
    matching.next().ok_or_else(|| Error::Version {
        section: section.into(),
        version: number,
    })
}

fn row(version: &SectionVersion) -> [String; 4] {
    let lines = match version.text.lines().count() {
        0 => "removed".into(),
        lines => lines.to_string(),
    };
    [
        version.version.to_string(),
        version.time.map(timestamp::format).unwrap_or_default(),
        version.author.as_deref().unwrap_or_default().into(),
        lines,
    ]
}
