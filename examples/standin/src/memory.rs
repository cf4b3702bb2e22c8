//! Memory use of the running process.

use std::{
    fs,
    io, //
};

/// Size of a memory page.
const PAGE_BYTES: f64 = 4096.0;

/// Resident memory of the running process in bytes.
///
/// # Errors
///
/// Returns an I/O error if `/proc/self/statm` can't be read or parsed.
pub fn resident_bytes() -> io::Result<f64> {
    let text = fs::read_to_string("/proc/self/statm")?;
    let pages = text.split(' ').nth(1).unwrap_or_default();
    let pages: f64 = pages.parse().map_err(io::Error::other)?;
    Ok(pages * PAGE_BYTES)
}
