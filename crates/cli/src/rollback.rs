//! `mimosausher rollback`: restores a section to the text of an older version.

use wire::Edit;

use crate::{
    client::Client,
    edits,
    error::Error,
    exit::Exit,
    history,
    options::Rollback, //
};

/// Sends an edit that sets a section to the text of an older version.
///
/// # Errors
///
/// [`Error::Version`] if the version is not kept, or any failure of a request.
pub async fn run(client: Client, options: &Rollback, json: bool) -> Result<Exit, Error> {
    let section = options.section.as_str();
    let versions = history::fetch(&client, section).await?;
    let version = history::find(&versions, section, options.version)?;
    let base = versions.last().map_or(0, |latest| latest.version);
    let id = edits::id(options.id.as_ref());
    let edit = Edit {
        author: options.author.as_str().into(),
        base,
        id: format!("{id}/{section}").into(),
        section: section.into(),
        team: None,
        text: version.text.clone(),
    };
    edits::send(&client, &edit, &id, json).await
}
