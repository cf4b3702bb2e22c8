//! `mimosausher check`: checks a file and starts nothing.

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

/// Checks a settings file, told by its table `instance`, or else a document.
///
/// # Errors
///
/// The file's refusal.
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
