//! TLS of the admin face.

use std::path::PathBuf;

/// The files that the admin face's TLS is set up from, both PEM.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Tls {
    /// The certificate chain, the instance's own first.
    pub certificate: PathBuf,
    /// The private key.
    pub key: PathBuf,
}
