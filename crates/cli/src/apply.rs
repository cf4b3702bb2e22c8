//! `mimosausher apply`: changes the document, or one section of it.

use wire::{
    Edit,
    SectionText, //
};

use crate::{
    change::Change,
    client::Client,
    edits,
    error::Error,
    exit::Exit,
    options::Apply, //
};

/// Sends one edit for each section of the file that differs from the one in force.
///
/// Sections that the file does not hold stay as they are.
///
/// # Errors
///
/// The file's refusal, or any failure of a call.
pub async fn run(client: Client, options: &Apply, json: bool) -> Result<Exit, Error> {
    let changes = Change::read(&options.file, options.section.as_deref())?;
    let force: Vec<SectionText> = client.get("/v1/document").await?;
    let id = edits::id(options.id.as_ref());
    let mut exit = Exit::Success;
    for Change { base, name, text } in changes {
        let known = force.iter().find(|section| section.name == name);
        let same = known.is_some_and(|section| section.text == text);
        if same && options.id.is_none() {
            if !json {
                println!("section {name}: unchanged");
            }
            continue;
        }
        let version = known.map_or(0, |section| section.version);
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
            other => exit = other,
        }
    }
    Ok(exit)
}
