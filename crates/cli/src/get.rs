//! `mimosausher get`: prints the document in force.

use wire::SectionText;

use crate::{
    client::Client,
    error::Error,
    options::Get, //
};

/// Prints all sections with their versions, or the text of one.
///
/// # Errors
///
/// Any failure of the call, or [`Error::Section`] if there is no such section.
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
    for section in sections {
        println!("# section {} version {}", section.name, section.version);
        println!("{}", section.text.trim_end());
    }
    Ok(())
}
