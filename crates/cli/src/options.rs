//! Options of the command line.
//!
//! `--help` prints the doc comments of the option types and the `help` texts of their fields.

use std::net::SocketAddr;

use gumdrop::Options as Gumdrop;

/// What the command line holds.
#[derive(Debug)]
#[derive(Gumdrop)]
pub struct Options {
    /// PEM file with the certificates of the trusted authorities.
    #[options(
        help = "certificates (PEM) that the instances are trusted by",
        meta = "FILE"
    )]
    pub ca: Option<String>,
    /// The subcommand.
    #[options(command)]
    pub command: Option<Subcommand>,
    /// Whether to print the usage.
    #[options(help = "print this help")]
    pub help: bool,
    /// Admin addresses of instances, tried in order.
    #[options(
        help = "admin address of any instance; given again, the next one to try",
        meta = "ADDRESS"
    )]
    pub instance: Vec<SocketAddr>,
    /// Whether to print JSON.
    #[options(help = "print JSON in place of tables")]
    pub json: bool,
    /// Path of the operator's key file.
    #[options(help = "file of the operator's key", meta = "FILE")]
    pub key_file: Option<String>,
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
    /// Prints the audit trail.
    #[options(help = "read back who changed what")]
    Audit(Audit),
    /// Validates a file.
    #[options(help = "check a settings file or a document, and start nothing")]
    Check(Check),
    /// Shows what a file would change.
    #[options(help = "show what a file would change")]
    Diff(Diff),
    /// Lists the endpoints.
    #[options(help = "list the endpoints that an instance knows")]
    Endpoints(Endpoints),
    /// Prints the document.
    #[options(help = "print the document in force, or one section of it")]
    Get(Get),
    /// Lists a section's versions, or prints one.
    #[options(help = "list a section's versions, or print one")]
    History(History),
    /// Initialises the log of the stores.
    #[options(help = "start the stores for the first time")]
    Init(Init),
    /// Generates a key.
    #[options(help = "make an operator's key")]
    Key(Key),
    /// Lists, adds or removes stores.
    #[options(help = "list the stores, add one, or remove one")]
    Members(Members),
    /// Removes a section.
    #[options(help = "remove a section")]
    Remove(Remove),
    /// Restores a section to the text of an older version.
    #[options(help = "edit a section back to the text of an older version")]
    Rollback(Rollback),
    /// Prints the state of the instances.
    #[options(help = "describe an instance and those that it knows")]
    Status(Status),
    /// Prints new revisions.
    #[options(help = "print each new revision that comes into force at an instance")]
    Watch(Watch),
}

/// Options of `apply`.
#[derive(Debug)]
#[derive(Gumdrop)]
pub struct Apply {
    /// Author of the edit.
    #[options(
        help = "who edits, for the audit trail; a key's holder goes before it",
        default = "operator"
    )]
    pub author: String,
    /// Version of the section that the edit was made from.
    #[options(
        help = "version that the section was edited from; default: the one that the file names, or the one in force"
    )]
    pub base: Option<u64>,
    /// Path of the file.
    #[options(
        free,
        required,
        help = "document, or with --section the text of one section"
    )]
    pub file: String,
    /// Whether to print the usage.
    #[options(help = "print this help")]
    pub help: bool,
    /// Id of the edit.
    #[options(help = "id of the edit, to resend one whose answer was lost")]
    pub id: Option<String>,
    /// Name of the section.
    #[options(help = "name of the one section to change")]
    pub section: Option<String>,
}

/// Options of `audit`.
#[derive(Debug)]
#[derive(Gumdrop)]
pub struct Audit {
    /// Number of lines to print.
    #[options(help = "how many lines, the latest ones", default = "100")]
    pub count: u32,
    /// Whether to print the usage.
    #[options(help = "print this help")]
    pub help: bool,
    /// Name of the section.
    #[options(free, help = "name of one section")]
    pub section: Option<String>,
}

/// Options of `check`.
#[derive(Debug)]
#[derive(Gumdrop)]
pub struct Check {
    /// Path of the file.
    #[options(free, required, help = "settings file or document")]
    pub file: String,
    /// Whether to print the usage.
    #[options(help = "print this help")]
    pub help: bool,
}

/// Options of `diff`.
#[derive(Debug)]
#[derive(Gumdrop)]
pub struct Diff {
    /// Path of the file.
    #[options(
        free,
        required,
        help = "document, or with --section the text of one section"
    )]
    pub file: String,
    /// Whether to print the usage.
    #[options(help = "print this help")]
    pub help: bool,
    /// Name of the section.
    #[options(help = "name of the one section to compare")]
    pub section: Option<String>,
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

/// Options of `history`.
#[derive(Debug)]
#[derive(Gumdrop)]
pub struct History {
    /// Whether to print the usage.
    #[options(help = "print this help")]
    pub help: bool,
    /// Name of the section.
    #[options(free, required, help = "name of the section")]
    pub section: String,
    /// Number of a version.
    #[options(free, help = "number of the version to print")]
    pub version: Option<u64>,
}

/// Options of `init`.
#[derive(Debug)]
#[derive(Gumdrop)]
pub struct Init {
    /// Whether to print the usage.
    #[options(help = "print this help")]
    pub help: bool,
    /// Stores of the new log.
    #[options(
        free,
        required,
        help = "the stores, each as NAME=ADDRESS with its inner address"
    )]
    pub stores: Vec<String>,
}

/// Options of `key`.
#[derive(Debug)]
#[derive(Gumdrop)]
pub struct Key {
    /// Name of the admin who holds the key.
    #[options(help = "name of the admin who gets the key")]
    pub admin: Option<String>,
    /// Path of the file.
    #[options(free, required, help = "file to write the key to")]
    pub file: String,
    /// Whether to print the usage.
    #[options(help = "print this help")]
    pub help: bool,
    /// Name of the team that holds the key.
    #[options(help = "name of the team that gets the key")]
    pub team: Option<String>,
}

/// Options of `members`.
#[derive(Debug)]
#[derive(Gumdrop)]
pub struct Members {
    /// Store to add.
    #[options(
        help = "add a store, as NAME=ADDRESS with its inner address",
        meta = "STORE"
    )]
    pub add: Option<String>,
    /// Whether to print the usage.
    #[options(help = "print this help")]
    pub help: bool,
    /// Name of the store to remove.
    #[options(help = "remove the store of that name", meta = "NAME")]
    pub remove: Option<String>,
}

/// Options of `remove`.
#[derive(Debug)]
#[derive(Gumdrop)]
pub struct Remove {
    /// Author of the edit.
    #[options(
        help = "who edits, for the audit trail; a key's holder goes before it",
        default = "operator"
    )]
    pub author: String,
    /// Version of the section that is removed.
    #[options(help = "version that is removed; default: the one in force")]
    pub base: Option<u64>,
    /// Whether to print the usage.
    #[options(help = "print this help")]
    pub help: bool,
    /// Id of the edit.
    #[options(help = "id of the edit, to resend one whose answer was lost")]
    pub id: Option<String>,
    /// Name of the section.
    #[options(free, required, help = "name of the section")]
    pub section: String,
}

/// Options of `rollback`.
#[derive(Debug)]
#[derive(Gumdrop)]
pub struct Rollback {
    /// Author of the edit.
    #[options(
        help = "who edits, for the audit trail; a key's holder goes before it",
        default = "operator"
    )]
    pub author: String,
    /// Whether to print the usage.
    #[options(help = "print this help")]
    pub help: bool,
    /// Id of the edit.
    #[options(help = "id of the edit, to resend one whose answer was lost")]
    pub id: Option<String>,
    /// Name of the section.
    #[options(free, required, help = "name of the section")]
    pub section: String,
    /// Number of the older version.
    #[options(free, required, help = "number of the older version")]
    pub version: u64,
}

/// Options of `status`.
#[derive(Debug)]
#[derive(Gumdrop)]
pub struct Status {
    /// Whether to print the usage.
    #[options(help = "print this help")]
    pub help: bool,
}

/// Options of `watch`.
#[derive(Debug)]
#[derive(Gumdrop)]
pub struct Watch {
    /// Number of revisions to print.
    #[options(help = "end after that many revisions")]
    pub count: Option<u64>,
    /// Whether to print the usage.
    #[options(help = "print this help")]
    pub help: bool,
}
