//! `mimosausher remove`: removes a section.

use wire::{
    Edit,
    SectionText, //
};

use crate::{
    client::Client,
    edits,
    error::Error,
    exit::Exit,
    options::Remove, //
};

/// Sends an edit that removes a section.
///
/// # Errors
///
/// [`Error::Section`] if there is no such section, or any failure of a request.
pub async fn run(client: Client, options: &Remove, json: bool) -> Result<Exit, Error> {
    let section = options.section.as_str();
    let current: Vec<SectionText> = client.get("/v1/document").await?;
    let existing = current.iter().find(|current| &*current.name == section);
    let version = match (existing, options.base) {
        (_, Some(base)) => base,
        (Some(existing), None) => existing.version,
        (None, None) => return Err(Error::Section(section.into())),
    };
    let id = edits::id(options.id.as_ref());
    let edit = Edit {
        author: options.author.as_str().into(),
        base: version,
        id: format!("{id}/{section}").into(),
        section: section.into(),
        team: None,
        text: "".into(),
    };
    edits::send(&client, &edit, &id, json).await
}
