//! The settings file while the process runs.

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

/// Time between two looks at the settings file, which may change without a signal.
const LOOK: Duration = Duration::from_secs(1);

/// Reads the settings again whenever their file changes, until a planned stop is asked for.
///
/// A file that is not valid is logged, and what was read before stays.
///
/// # Errors
///
/// [`Error::Runtime`] if no signals can be received.
pub async fn until_stop(
    mut signals: Signals,
    path: &Path,
    apply: impl Fn(Settings),
) -> Result<(), Error> {
    let mut read = modified(path);
    loop {
        let signal = compio::time::timeout(LOOK, signals.next()).await;
        let signal = signal.ok().transpose().map_err(Error::Runtime)?;
        let now = modified(path);
        match signal {
            Some(Signal::Stop) => break,
            None if now == read => continue,
            Some(Signal::Reload) | None => {}
        }
        read = now;
        match Settings::read(path) {
            Ok(settings) => {
                log::info!(signal = signal.is_some(); "the settings were read again");
                apply(settings);
            }
            Err(error) => log::error!("{error}; what was read before stays"),
        }
    }
    log::info!("a planned stop has begun");
    Ok(())
}

/// When the file was changed; none if it can't be told, as while it is replaced.
fn modified(path: &Path) -> Option<SystemTime> {
    fs::metadata(path).and_then(|data| data.modified()).ok()
}
