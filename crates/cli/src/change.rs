//! Sections as they stand in an operator's file.

use std::path::Path;

use settings::{
    Document,
    Section,
    Source, //
};
use toml_edit::{
    DocumentMut,
    Item,
    Table, //
};

use crate::error::Error;

/// A section as it stands in a file.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Change {
    /// Version that the file says it was edited from.
    pub base: Option<u64>,
    /// Name of the section.
    pub name: Box<str>,
    /// The section's own text, comments included.
    pub text: Box<str>,
}

impl Change {
    /// Reads a document, or the one section of that name, from a file.
    ///
    /// # Errors
    ///
    /// The file's refusal.
    pub fn read(file: &str, section: Option<&str>) -> Result<Vec<Self>, Error> {
        let source = Source::read(Path::new(file))?;
        match section {
            Some(name) => {
                Section::parse(&source)?;
                Ok(vec![Self::new(name, source.text())])
            }
            None => {
                Document::parse(&source)?;
                Self::split(&source)
            }
        }
    }

    /// A section from its text, out of which the line with its version is taken.
    fn new(name: &str, text: &str) -> Self {
        let mut base = None;
        let mut own = String::new();
        for line in text.split_inclusive('\n') {
            match version(line, name) {
                Some(version) => base = Some(version),
                None => own.push_str(line),
            }
        }
        Self {
            base,
            name: name.into(),
            text: format!("{}\n", own.trim()).into(),
        }
    }

    /// The sections of a document, each with its own text.
    fn split(source: &Source) -> Result<Vec<Self>, Error> {
        let document: DocumentMut = source.text().parse().map_err(Error::Split)?;
        let Some(sections) = document.get("section").and_then(Item::as_table_like) else {
            return Ok(Vec::new());
        };
        let tables: Vec<(&str, Table)> = sections
            .iter()
            .filter_map(|(name, item)| Some((name, item.clone().into_table().ok()?)))
            .collect();
        let last = tables
            .iter()
            .max_by_key(|(_, table)| position(table))
            .map(|(name, _)| *name);
        let changes = tables.iter().map(|(name, table)| {
            let mut own = DocumentMut::new();
            *own.as_table_mut() = table.clone();
            let mut text = own.to_string();
            // Comments at the document's end belong to its last section.
            if last == Some(*name) {
                text.push_str(document.trailing().as_str().unwrap_or_default());
            }
            Self::new(name, &text)
        });
        Ok(changes.collect())
    }
}

/// The text of a section as a part of the document, below a line with its version.
///
/// # Errors
///
/// [`Error::Split`] if the text is not valid TOML.
pub fn embed(name: &str, version: u64, text: &str) -> Result<String, Error> {
    let own: DocumentMut = text.parse().map_err(Error::Split)?;
    let trailing = own.trailing().as_str().unwrap_or_default().to_owned();
    let mut inner = own.as_table().clone();
    inner.decor_mut().set_prefix("");
    let mut outer = Table::new();
    outer.set_implicit(true);
    outer.insert(name, Item::Table(inner));
    let mut document = DocumentMut::new();
    document.insert("section", Item::Table(outer));
    let body = document.to_string();
    let heading = heading(name, version);
    let trailing = trailing.trim_start();
    Ok(format!("{heading}{}\n{trailing}", body.trim()))
}

/// The line that tells which version of a section a text is.
pub fn heading(name: &str, version: u64) -> String {
    format!("# section {name} version {version}\n")
}

fn version(line: &str, name: &str) -> Option<u64> {
    let rest = line.strip_prefix("# section ")?.strip_prefix(name)?;
    rest.strip_prefix(" version ")?.trim_end().parse().ok()
}

/// Where the last part of a section stands in its document.
fn position(table: &Table) -> Option<isize> {
    let parts = table.iter().map(|(_, item)| match item {
        Item::ArrayOfTables(tables) => tables.iter().filter_map(position).max(),
        Item::Table(table) => position(table),
        Item::None | Item::Value(_) => None,
    });
    parts.max().flatten().max(table.position())
}
