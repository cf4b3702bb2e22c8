//! Wall-clock time.

use std::time::SystemTime;

/// Milliseconds since the Unix epoch; 0 if the clock is set before it.
pub fn epoch_millis() -> u64 {
    SystemTime::now()
        .duration_since(SystemTime::UNIX_EPOCH)
        .ok()
        .and_then(|elapsed| u64::try_from(elapsed.as_millis()).ok())
        .unwrap_or_default()
}
