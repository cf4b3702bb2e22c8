//! TLS of the admin listener.

use std::path::PathBuf;

/// PEM files for TLS on the admin listener.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Tls {
    /// Certificate chain, the instance's own certificate first.
    pub certificate: PathBuf,
    /// Private key.
    pub key: PathBuf,
}
