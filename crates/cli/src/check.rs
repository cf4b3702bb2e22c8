//! `mimosausher check`: validates a file without starting an instance.

use std::path::Path;

use settings::{
    Document,
    Settings,
    Source, //
};

use crate::{
    error::Error,
    options::Check, //
};

/// Validates a file: as settings if it has a table `instance`, and as a document otherwise.
///
/// # Errors
///
/// [`Error::File`] if the file cannot be read or is invalid.
pub fn run(options: &Check) -> Result<(), Error> {
    let source = Source::read(Path::new(&options.file))?;
    let table: toml::Table = source.parse()?;
    if table.contains_key("instance") {
        Settings::parse(&source)?;
        println!("{}: valid settings", options.file);
    } else {
        let document = Document::parse(&source)?;
        let services = document.services().count();
        let sections = document.sections.len();
        println!(
            "{}: valid document, {sections} sections, {services} services",
            options.file
        );
    }
    Ok(())
}
