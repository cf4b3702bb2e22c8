//! `mimosausher diff`: shows what a file would change.

use wire::SectionText;

use crate::{
    change::Change,
    client::Client,
    difference,
    error::Error,
    options::Diff, //
};

/// Prints the difference between each section in force and the one in the file.
///
/// # Errors
///
/// The file's refusal, or any failure of the call.
pub async fn run(client: Client, options: &Diff, json: bool) -> Result<(), Error> {
    let changes = Change::read(&options.file, options.section.as_deref())?;
    let force: Vec<SectionText> = client.get("/v1/document").await?;
    for Change { name, text, .. } in changes {
        let known = force.iter().find(|section| section.name == name);
        let version = known.map_or(0, |section| section.version);
        let before = known.map_or("", |section| &section.text);
        let names = [format!("{name} version {version}"), options.file.clone()];
        let difference = difference::unified(&names, before, &text);
        if json {
            println!(
                "{}",
                serde_json::json!({"diff": difference, "section": name, "version": version})
            );
        } else if difference.is_empty() {
            println!("section {name}: unchanged");
        } else {
            print!("{difference}");
        }
    }
    Ok(())
}
