//! Startup of a process by its settings file.

use std::{
    path::Path,
    process::ExitCode, //
};

use compio::runtime::Runtime;
use process::SignalHandlers;

use crate::{
    adapter::Adapter,
    error::Error,
    logs, run_entry, run_store,
    settings::{
        Role,
        Settings, //
    },
};

/// Runs a process with a settings file and the adapter of a platform.
pub fn run<A: Adapter>(path: &Path) -> ExitCode {
    match start::<A>(path) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("mimosausher: {error}");
            ExitCode::FAILURE
        }
    }
}

fn start<A: Adapter>(path: &Path) -> Result<(), Error> {
    let handlers = SignalHandlers::new().map_err(Error::Runtime)?;
    let settings = Settings::read(path)?;
    let _log = logs::start()?;
    let runtime = Runtime::new().map_err(Error::Runtime)?;
    match settings.role {
        Role::Entry => runtime.block_on(run_entry::serve::<A>(settings, path, handlers)),
        Role::Store => runtime.block_on(run_store::serve::<A>(settings, path, handlers)),
    }
}
