//! Startup of a process by its settings file.

use std::{
    path::Path,
    process::ExitCode, //
};

use compio::runtime::Runtime;
use process::SignalHandlers;

use crate::{
    adapter::Border,
    error::Error,
    logs, run_entry, run_store,
    settings::{
        Role,
        Settings, //
    },
};

/// Runs a process with a settings file and the adapter of a platform.
pub fn run<B: Border>(path: &Path) -> ExitCode {
    match start::<B>(path) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("mimosausher: {error}");
            ExitCode::FAILURE
        }
    }
}

fn start<B: Border>(path: &Path) -> Result<(), Error> {
    let handlers = SignalHandlers::new().map_err(Error::Runtime)?;
    let settings = Settings::read(path)?;
    let _log = logs::start()?;
    let runtime = Runtime::new().map_err(Error::Runtime)?;
    match settings.role {
        Role::Entry => runtime.block_on(run_entry::serve::<B>(settings, path, handlers)),
        Role::Store => runtime.block_on(run_store::serve::<B>(settings, path, handlers)),
    }
}
