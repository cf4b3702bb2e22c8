//! The options of the command line.

use std::path::PathBuf;

use gumdrop::Options as Derived;

use crate::error::Error;

/// Plays a scenario with several policies and prints what became of the requests.
#[derive(Clone, Debug)]
#[derive(Derived)]
pub struct Options {
    #[options(help = "print this help")]
    pub help: bool,

    #[options(help = "write all measurements as JSON", meta = "FILE", no_short)]
    pub json: Option<PathBuf>,

    #[options(
        help = "loads, relative to what endpoints and links can just serve",
        default = "0.5,0.7,0.9,1,1.2,1.5,2,3",
        meta = "LIST",
        no_short
    )]
    pub loads: String,

    #[options(help = "draw the worth by load as SVG", meta = "FILE", no_short)]
    pub plot: Option<PathBuf>,

    #[options(help = "seeds for each load", default = "3", meta = "NUMBER", no_short)]
    pub seeds: u64,

    #[options(help = "print the version", no_short)]
    pub version: bool,

    #[options(free, help = "a built-in scenario, or a TOML file")]
    pub scenario: Option<String>,
}

impl Options {
    /// The loads.
    ///
    /// # Errors
    ///
    /// [`Error::Numbers`].
    pub fn parse_loads(&self) -> Result<Vec<f64>, Error> {
        let wrong = || Error::Numbers {
            text: self.loads.as_str().into(),
        };
        let loads = self.loads.split(',').map(|load| {
            let load: f64 = load.trim().parse().map_err(|_| wrong())?;
            (load > 0.0 && load <= 100.0)
                .then_some(load)
                .ok_or_else(wrong)
        });
        loads.collect()
    }
}
