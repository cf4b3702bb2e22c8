//! `mimosausher get`: prints the document in force.

use wire::SectionText;

use crate::{
    client::Client,
    error::Error,
    options::Get,
    section::{
        embed,
        version_line, //
    }, //
};

/// Prints the document, or the text of one section, with the version lines that `apply` reads.
///
/// # Errors
///
/// Any failure of the request, [`Error::Section`] if there is no such section, or [`Error::Toml`]
/// if the text of a section is not valid TOML.
pub async fn run(client: Client, options: &Get, json: bool) -> Result<(), Error> {
    let mut sections: Vec<SectionText> = client.get("/v1/document").await?;
    if let Some(name) = &options.section {
        sections.retain(|section| &*section.name == name.as_str());
        if sections.is_empty() {
            return Err(Error::Section(name.as_str().into()));
        }
    }
    if json {
        println!("{}", serde_json::json!(sections));
        return Ok(());
    }
    let mut separator = "";
    for SectionText {
        name,
        text,
        version,
    } in sections
    {
        match options.section {
            Some(_) => print!("{}{text}", version_line(&name, version)),
            None => print!("{separator}{}", embed(&name, version, &text)?),
        }
        separator = "\n";
    }
    Ok(())
}
