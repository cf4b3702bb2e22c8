//! Errors of an experiment.

use std::{
    io,
    path::PathBuf, //
};

use miette::Diagnostic;

/// Why an experiment cannot run.
#[derive(Debug)]
#[derive(Diagnostic, thiserror::Error)]
pub enum Error {
    /// A list of numbers on the command line cannot be read.
    #[error("`{text}` is not a list of positive numbers, such as 0.5,1,2")]
    Numbers {
        /// The text.
        text: Box<str>,
    },
    /// A plot cannot be drawn.
    #[error("cannot draw {}: {cause}", path.display())]
    Plot {
        /// What the library said.
        cause: Box<str>,
        /// The file.
        path: PathBuf,
    },
    /// A file cannot be read.
    #[error("cannot read {}: {cause}", path.display())]
    Read {
        /// The error of the system.
        cause: io::Error,
        /// The file.
        path: PathBuf,
    },
    /// A scenario is not valid TOML or has unknown fields.
    #[error("the scenario is not valid: {0}")]
    Syntax(#[from] Box<toml::de::Error>),
    /// No built-in scenario has this name.
    #[error("no scenario `{name}`; built in are: {known}")]
    UnknownScenario {
        /// The built-in ones.
        known: Box<str>,
        /// The name.
        name: Box<str>,
    },
    /// A value of a scenario is out of range.
    #[error("the scenario's `{field}` {expected}")]
    Value {
        /// What is expected.
        expected: &'static str,
        /// The field.
        field: Box<str>,
    },
    /// A file cannot be written.
    #[error("cannot write {}: {cause}", path.display())]
    Write {
        /// The error of the system.
        cause: io::Error,
        /// The file.
        path: PathBuf,
    },
}
