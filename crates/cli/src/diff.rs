//! `mimosausher diff`: shows what a file would change.

use wire::SectionText;

use crate::{
    client::Client,
    error::Error,
    options::Diff,
    section::FileSection,
    text_diff, //
};

/// Prints a unified diff from each section in force to the one in the file.
///
/// # Errors
///
/// An invalid file, or any failure of the request.
pub async fn run(client: Client, options: &Diff, json: bool) -> Result<(), Error> {
    let sections = FileSection::read(&options.file, options.section.as_deref())?;
    let current: Vec<SectionText> = client.get("/v1/document").await?;
    for FileSection { name, text, .. } in sections {
        let existing = current.iter().find(|section| section.name == name);
        let version = existing.map_or(0, |section| section.version);
        let before = existing.map_or("", |section| &section.text);
        let names = [format!("{name} version {version}"), options.file.clone()];
        let diff = text_diff::unified(&names, before, &text);
        if json {
            println!(
                "{}",
                serde_json::json!({"diff": diff, "section": name, "version": version})
            );
        } else if diff.is_empty() {
            println!("section {name}: unchanged");
        } else {
            print!("{diff}");
        }
    }
    Ok(())
}
