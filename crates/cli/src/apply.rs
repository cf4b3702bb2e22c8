//! `mimosausher apply`: changes the document, or one section of it.

use std::path::Path;

use settings::{
    Document,
    Section,
    Source, //
};
use wire::{
    Edit,
    Outcome,
    SectionText, //
};

use crate::{
    client::Client,
    error::Error,
    exit::Exit,
    options::Apply, //
};

/// A section as it stands in the file.
struct Change {
    name: Box<str>,
    text: Box<str>,
}

/// Sends one edit for each section that differs from the one in force.
///
/// # Errors
///
/// The file's refusal, or any failure of a call.
pub async fn run(client: Client, options: &Apply, json: bool) -> Result<Exit, Error> {
    let source = Source::read(Path::new(&options.file))?;
    let texts = match &options.section {
        Some(name) => {
            Section::parse(&source)?;
            vec![Change {
                name: name.as_str().into(),
                text: source.text().into(),
            }]
        }
        None => sections(&source)?,
    };
    let force: Vec<SectionText> = client.get("/v1/document").await?;
    let mut exit = Exit::Success;
    for Change { name, text } in texts {
        let known = force.iter().find(|section| section.name == name);
        if known.is_some_and(|section| section.text == text) {
            println!("section {name}: unchanged");
            continue;
        }
        let version = known.map_or(0, |section| section.version);
        let edit = Edit {
            author: options.author.as_str().into(),
            base: options.base.unwrap_or(version),
            id: id(options, &name),
            section: name,
            text,
        };
        let outcome = client.post("/v1/edits", &edit).await?;
        if matches!(outcome, Outcome::Refused { .. }) {
            exit = Exit::Refused;
        }
        report(&edit, &outcome, json);
    }
    Ok(exit)
}

/// The sections of a whole document, each as its own text.
fn sections(source: &Source) -> Result<Vec<Change>, Error> {
    let document = Document::parse(source)?;
    let table: toml::Table = source.parse()?;
    let texts = table.get("section").and_then(toml::Value::as_table);
    Ok(document
        .sections
        .into_keys()
        .filter_map(|name| {
            let text = toml::to_string(texts?.get(&*name)?).ok()?;
            Some(Change {
                name,
                text: text.into(),
            })
        })
        .collect())
}

fn id(options: &Apply, section: &str) -> Box<str> {
    match &options.id {
        Some(id) => format!("{id}/{section}").into(),
        None => format!("{:016x}", rand::random::<u64>()).into(),
    }
}

fn report(edit: &Edit, outcome: &Outcome, json: bool) {
    if json {
        println!(
            "{}",
            serde_json::json!({"edit": edit.id, "outcome": outcome})
        );
        return;
    }
    match outcome {
        Outcome::Accepted { revision, version } => println!(
            "section {}: accepted as version {version}, revision {revision}",
            edit.section
        ),
        Outcome::Refused {
            advice,
            code,
            version,
        } => println!(
            "section {}: refused, {code} {advice} (in force: version {version})",
            edit.section
        ),
    }
}
