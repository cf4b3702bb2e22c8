//! `mimosausher apply`: changes the document, or one section of it.

use wire::{
    Edit,
    SectionText, //
};

use crate::{
    client::Client,
    edits,
    error::Error,
    exit::Exit,
    options::Apply,
    section::FileSection, //
};

/// Sends one edit for each section of the file that differs from the one in force.
///
/// With `--id`, sends unchanged sections too, to learn the outcome of an earlier edit with that id.
/// Sections that the file does not contain stay unchanged.
///
/// # Errors
///
/// An invalid file, or any failure of a request.
pub async fn run(client: Client, options: &Apply, json: bool) -> Result<Exit, Error> {
    let sections = FileSection::read(&options.file, options.section.as_deref())?;
    let current: Vec<SectionText> = client.get("/v1/document").await?;
    let id = edits::id(options.id.as_ref());
    let mut exit = Exit::Success;
    for FileSection { base, name, text } in sections {
        let existing = current.iter().find(|section| section.name == name);
        let unchanged = existing.is_some_and(|section| section.text == text);
        if unchanged && options.id.is_none() {
            if !json {
                println!("section {name}: unchanged");
            }
            continue;
        }
        let version = existing.map_or(0, |section| section.version);
        let edit = Edit {
            author: options.author.as_str().into(),
            base: options.base.or(base).unwrap_or(version),
            id: format!("{id}/{name}").into(),
            section: name,
            team: None,
            text,
        };
        match edits::send(&client, &edit, &id, json).await? {
            Exit::Success => {}
            refused => exit = refused,
        }
    }
    Ok(exit)
}
