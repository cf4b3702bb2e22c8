//! The daemon's command line options.

use gumdrop::Options as Gumdrop;

/// What the command line holds.
#[derive(Debug)]
#[derive(Gumdrop)]
pub struct Options {
    /// Whether to check the settings and do nothing else.
    #[options(help = "check the settings file and start nothing")]
    pub check: bool,
    /// Whether to print the usage.
    #[options(help = "print this help")]
    pub help: bool,
    /// The settings file.
    #[options(free, help = "settings file (TOML)")]
    pub settings: Option<String>,
    /// Whether to print the version.
    #[options(help = "print the version", short = "V")]
    pub version: bool,
}
