//! The command line.

use std::net::SocketAddr;

use gumdrop::Options as Gumdrop;

/// What the command line holds.
#[derive(Debug)]
#[derive(Gumdrop)]
pub struct Options {
    /// The subcommand.
    #[options(command)]
    pub command: Option<Subcommand>,
    /// Whether to print the usage.
    #[options(help = "print this help")]
    pub help: bool,
    /// Admin address of an instance.
    #[options(help = "admin address of any instance", meta = "ADDRESS")]
    pub instance: Option<SocketAddr>,
    /// Whether to print JSON.
    #[options(help = "print JSON in place of tables")]
    pub json: bool,
    /// Whether to print the version.
    #[options(help = "print the version", short = "V")]
    pub version: bool,
}

/// A subcommand with its own options.
#[derive(Debug)]
#[derive(Gumdrop)]
pub enum Subcommand {
    /// Changes the document.
    #[options(help = "change the document, or one section of it")]
    Apply(Apply),
    /// Checks a file.
    #[options(help = "check a settings file or a document, and start nothing")]
    Check(Check),
    /// Lists the endpoints.
    #[options(help = "list the endpoints that an instance knows")]
    Endpoints(Endpoints),
    /// Prints the document.
    #[options(help = "print the document in force, or one section of it")]
    Get(Get),
    /// Describes an instance.
    #[options(help = "describe an instance and those that it knows")]
    Status(Status),
}

/// Options of `apply`.
#[derive(Debug)]
#[derive(Gumdrop)]
pub struct Apply {
    /// Who edits.
    #[options(help = "who edits, for the audit trail", default = "operator")]
    pub author: String,
    /// Version of the section that the edit was made from.
    #[options(help = "version that the section was edited from; default: the one in force")]
    pub base: Option<u64>,
    /// The file.
    #[options(
        free,
        required,
        help = "document, or with --section the text of one section"
    )]
    pub file: String,
    /// Whether to print the usage.
    #[options(help = "print this help")]
    pub help: bool,
    /// Identifies the edit.
    #[options(help = "id of the edit, to resend one whose answer was lost")]
    pub id: Option<String>,
    /// Name of the section.
    #[options(help = "name of the one section to change")]
    pub section: Option<String>,
}

/// Options of `check`.
#[derive(Debug)]
#[derive(Gumdrop)]
pub struct Check {
    /// The file.
    #[options(free, required, help = "settings file or document")]
    pub file: String,
    /// Whether to print the usage.
    #[options(help = "print this help")]
    pub help: bool,
}

/// Options of `endpoints`.
#[derive(Debug)]
#[derive(Gumdrop)]
pub struct Endpoints {
    /// Whether to print the usage.
    #[options(help = "print this help")]
    pub help: bool,
}

/// Options of `get`.
#[derive(Debug)]
#[derive(Gumdrop)]
pub struct Get {
    /// Whether to print the usage.
    #[options(help = "print this help")]
    pub help: bool,
    /// Name of the section.
    #[options(free, help = "name of one section")]
    pub section: Option<String>,
}

/// Options of `status`.
#[derive(Debug)]
#[derive(Gumdrop)]
pub struct Status {
    /// Whether to print the usage.
    #[options(help = "print this help")]
    pub help: bool,
}
