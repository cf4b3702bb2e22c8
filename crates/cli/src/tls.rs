//! TLS for connections to instances.

use std::{
    path::Path,
    sync::Arc, //
};

use compio::tls::TlsConnector;
use rustls::{
    ClientConfig, RootCertStore,
    crypto::ring::default_provider,
    pki_types::{
        CertificateDer,
        pem::PemObject, //
    },
};

use crate::error::Error;

/// Creates a connector that trusts the certificate authorities in a PEM file.
///
/// # Errors
///
/// [`Error::Certificate`] if the file cannot be read or contains no valid certificate.
pub fn connector(path: &Path) -> Result<TlsConnector, Error> {
    let certificate_error = |cause: &dyn ToString| Error::Certificate {
        cause: cause.to_string().into(),
        path: path.into(),
    };
    let text = std::fs::read(path).map_err(|cause| certificate_error(&cause))?;
    let mut roots = RootCertStore::empty();
    for certificate in CertificateDer::pem_slice_iter(&text) {
        let certificate = certificate.map_err(|cause| certificate_error(&cause))?;
        roots
            .add(certificate)
            .map_err(|cause| certificate_error(&cause))?;
    }
    if roots.is_empty() {
        return Err(certificate_error(&"no certificate found"));
    }
    let config = ClientConfig::builder_with_provider(Arc::new(default_provider()))
        .with_safe_default_protocol_versions()
        .map_err(|cause| certificate_error(&cause))?
        .with_root_certificates(roots)
        .with_no_client_auth();
    Ok(Arc::new(config).into())
}
