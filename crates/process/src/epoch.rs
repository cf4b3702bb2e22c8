//! The time of day.

use std::time::SystemTime;

/// Milliseconds since the Unix epoch; 0 while the clock is set to an earlier time.
pub fn epoch_millis() -> u64 {
    SystemTime::now()
        .duration_since(SystemTime::UNIX_EPOCH)
        .ok()
        .and_then(|elapsed| u64::try_from(elapsed.as_millis()).ok())
        .unwrap_or_default()
}
