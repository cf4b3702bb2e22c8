//! Sections of the document in an operator's files.

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

/// A section read from a file.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct FileSection {
    /// Version that the section was edited from, if the file has a version line.
    pub base: Option<u64>,
    /// Name of the section.
    pub name: Box<str>,
    /// Text of the section alone, including its comments.
    pub text: Box<str>,
}

impl FileSection {
    /// Reads the sections of a document, or the named section from a file with its text alone.
    ///
    /// # Errors
    ///
    /// [`Error::File`] or [`Error::Toml`] if the file cannot be read or is invalid.
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

    /// Creates a section from its text; takes the base version from the version line, and removes
    /// that line.
    fn new(name: &str, text: &str) -> Self {
        let mut base = None;
        let mut body = String::new();
        for line in text.split_inclusive('\n') {
            match parse_version(line, name) {
                Some(version) => base = Some(version),
                None => body.push_str(line),
            }
        }
        Self {
            base,
            name: name.into(),
            text: format!("{}\n", body.trim()).into(),
        }
    }

    /// Splits a document into its sections, each with its own text.
    fn split(source: &Source) -> Result<Vec<Self>, Error> {
        let document: DocumentMut = source.text().parse().map_err(Error::Toml)?;
        let Some(section_table) = document.get("section").and_then(Item::as_table_like) else {
            return Ok(Vec::new());
        };
        let tables: Vec<(&str, Table)> = section_table
            .iter()
            .filter_map(|(name, item)| Some((name, item.clone().into_table().ok()?)))
            .collect();
        let last = tables
            .iter()
            .max_by_key(|(_, table)| last_position(table))
            .map(|(name, _)| *name);
        let sections = tables.iter().map(|(name, table)| {
            let mut standalone = DocumentMut::new();
            *standalone.as_table_mut() = table.clone();
            let mut text = standalone.to_string();
            // Comments at the end of the document belong to its last section.
            if last == Some(*name) {
                text.push_str(document.trailing().as_str().unwrap_or_default());
            }
            Self::new(name, &text)
        });
        Ok(sections.collect())
    }
}

/// Converts the text of a section to a version line and the section's tables in a document.
///
/// # Errors
///
/// [`Error::Toml`] if the text is not valid TOML.
pub fn embed(name: &str, version: u64, text: &str) -> Result<String, Error> {
    let section: DocumentMut = text.parse().map_err(Error::Toml)?;
    let trailing = section.trailing().as_str().unwrap_or_default().to_owned();
    let mut inner = section.as_table().clone();
    inner.decor_mut().set_prefix("");
    let mut outer = Table::new();
    outer.set_implicit(true);
    outer.insert(name, Item::Table(inner));
    let mut document = DocumentMut::new();
    document.insert("section", Item::Table(outer));
    let body = document.to_string();
    let version_line = version_line(name, version);
    let trailing = trailing.trim_start();
    Ok(format!("{version_line}{}\n{trailing}", body.trim()))
}

/// Returns the comment line that states the version of a section's text.
pub fn version_line(name: &str, version: u64) -> String {
    format!("# section {name} version {version}\n")
}

fn parse_version(line: &str, name: &str) -> Option<u64> {
    let rest = line.strip_prefix("# section ")?.strip_prefix(name)?;
    rest.strip_prefix(" version ")?.trim_end().parse().ok()
}

/// Returns the position in the document of a section's last table.
fn last_position(table: &Table) -> Option<isize> {
    let positions = table.iter().map(|(_, item)| match item {
        Item::ArrayOfTables(tables) => tables.iter().filter_map(last_position).max(),
        Item::Table(table) => last_position(table),
        Item::None | Item::Value(_) => None,
    });
    positions.max().flatten().max(table.position())
}
