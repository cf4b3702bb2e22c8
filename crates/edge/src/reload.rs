//! Reloads of the settings file while the process runs.

use std::{
    fs,
    path::Path,
    time::{
        Duration,
        SystemTime, //
    },
};

use process::{
    Signal,
    Signals, //
};

use crate::{
    error::Error,
    settings::Settings, //
};

/// Interval of checks of the settings file, which may change without a signal.
const CHECK_INTERVAL: Duration = Duration::from_secs(1);

/// Reloads the settings on a signal or when their file changes, until a graceful shutdown is
/// requested.
///
/// An invalid file is logged, and the previous settings stay in force.
///
/// # Errors
///
/// [`Error::Runtime`] if no signals can be received.
pub async fn reload_until_stop(
    mut signals: Signals,
    path: &Path,
    apply: impl Fn(Settings),
) -> Result<(), Error> {
    let mut loaded = modified(path);
    loop {
        let signal = compio::time::timeout(CHECK_INTERVAL, signals.next()).await;
        let signal = signal.ok().transpose().map_err(Error::Runtime)?;
        let current = modified(path);
        match signal {
            Some(Signal::Stop) => break,
            None if current == loaded => continue,
            Some(Signal::Reload) | None => {}
        }
        loaded = current;
        match Settings::read(path) {
            Ok(settings) => {
                log::info!(signal = signal.is_some(); "the settings were reloaded");
                apply(settings);
            }
            Err(error) => log::error!("{error}; the previous settings stay in force"),
        }
    }
    log::info!("graceful shutdown has started");
    Ok(())
}

/// Modification time of the file; none if it cannot be read, for example while it is replaced.
fn modified(path: &Path) -> Option<SystemTime> {
    fs::metadata(path).and_then(|data| data.modified()).ok()
}
