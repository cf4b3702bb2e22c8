//! Authentication and authorisation of operator API requests.

use std::{
    fs,
    io,
    net::IpAddr,
    path::Path,
    sync::Arc, //
};

use codes::Code;
use compio::tls::TlsAcceptor;
use hyper::{
    Method,
    Request,
    header::AUTHORIZATION, //
};
use process::PeerAddress;
use ring::digest::{
    SHA256,
    digest, //
};
use rustls::{
    ServerConfig,
    crypto::ring::default_provider,
    pki_types::{
        CertificateDer,
        PrivateKeyDer,
        pem::PemObject, //
    },
};
use settings::{
    KeyOwner,
    Keys,
    Settings,
    Tls, //
};
use subtle::ConstantTimeEq;

use crate::{
    error::Error,
    error_response::ErrorResponse, //
};

/// Who sends a request.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Principal {
    /// The owner of a key.
    KeyOwner(KeyOwner),
    /// A client on this machine, which may do everything, at an instance without keys.
    Local,
    /// Any other client, which may only read, at an instance without keys.
    Remote,
}

/// Permission that a request needs.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Permission {
    Edit,
    Manage,
    None,
    Read,
}

/// Keys and TLS configuration of the operator API.
#[derive(Clone, Debug)]
pub struct Auth {
    keys: Option<Keys>,
    tls: Option<Arc<ServerConfig>>,
}

impl Auth {
    /// Reads the key and certificate files that the settings name.
    ///
    /// # Errors
    ///
    /// The error of the first file that cannot be used.
    pub fn open(settings: &Settings) -> Result<Self, Error> {
        let keys = settings.keys.as_deref().map(Keys::read).transpose()?;
        let tls = settings.tls.as_ref().map(tls_config).transpose()?;
        Ok(Self { keys, tls })
    }

    /// Returns the TLS acceptor; none for plain HTTP.
    pub fn acceptor(&self) -> Option<TlsAcceptor> {
        self.tls.clone().map(TlsAcceptor::from)
    }

    /// Authenticates the sender of a request and checks its permission.
    ///
    /// # Errors
    ///
    /// The error response for the client.
    pub fn authorize<B>(&self, request: &Request<B>) -> Result<Principal, ErrorResponse> {
        let permission = required_permission(request.method(), request.uri().path());
        let principal = match self.principal(request) {
            Some(principal) => principal,
            None if permission == Permission::None => Principal::Remote,
            None => {
                let advice = "the header `authorization` has no known key";
                return Err(ErrorResponse::new(Code::Unauthenticated, advice));
            }
        };
        match (permission, &principal) {
            (Permission::Edit | Permission::Manage, Principal::Remote) => {
                let advice = "an instance without keys takes changes from loopback addresses only";
                Err(ErrorResponse::new(Code::Unauthenticated, advice))
            }
            (Permission::Manage, Principal::KeyOwner(KeyOwner::Team(team))) => {
                let advice = format!("the key of team `{team}` is not an admin's");
                Err(ErrorResponse::new(Code::EditForbidden, advice))
            }
            (Permission::Edit | Permission::Manage | Permission::None | Permission::Read, _) => {
                Ok(principal)
            }
        }
    }

    /// Returns the sender of a request; none if a key is required and no known key is given.
    fn principal<B>(&self, request: &Request<B>) -> Option<Principal> {
        let Some(keys) = &self.keys else {
            let peer = request.extensions().get::<PeerAddress>();
            return match peer.is_some_and(|PeerAddress(address)| is_local(address.ip())) {
                true => Some(Principal::Local),
                false => Some(Principal::Remote),
            };
        };
        let header = request.headers().get(AUTHORIZATION)?.to_str().ok()?;
        let hash = digest(&SHA256, header.strip_prefix("Bearer ")?.as_bytes());
        let mut found = None;
        // All keys are compared, so that the response time does not reveal which one matches.
        for key in &keys.keys {
            if bool::from(key.digest.ct_eq(hash.as_ref())) {
                found = Some(Principal::KeyOwner(key.owner.clone()));
            }
        }
        found
    }
}

/// Returns the permission that a request needs.
fn required_permission(method: &Method, path: &str) -> Permission {
    match (method, path) {
        (_, "/v1/announcements") => Permission::None,
        (&Method::GET, path) if path.starts_with("/v1/") => Permission::Read,
        (_, "/v1/edits") => Permission::Edit,
        (_, path) if path.starts_with("/v1/") => Permission::Manage,
        _ => Permission::None,
    }
}

fn is_local(ip: IpAddr) -> bool {
    ip.to_canonical().is_loopback()
}

fn tls_config(tls: &Tls) -> Result<Arc<ServerConfig>, Error> {
    let chain = read_file(&tls.certificate)?;
    let certificates = CertificateDer::pem_slice_iter(&chain).collect::<Result<Vec<_>, _>>();
    let certificates = certificates.map_err(|cause| file_error(&tls.certificate, cause))?;
    let key = PrivateKeyDer::from_pem_slice(&read_file(&tls.key)?);
    let key = key.map_err(|cause| file_error(&tls.key, cause))?;
    let config = ServerConfig::builder_with_provider(Arc::new(default_provider()))
        .with_safe_default_protocol_versions()
        .and_then(|builder| {
            builder
                .with_no_client_auth()
                .with_single_cert(certificates, key)
        })
        .map_err(|cause| file_error(&tls.certificate, cause))?;
    Ok(Arc::new(config))
}

fn read_file(path: &Path) -> Result<Vec<u8>, Error> {
    fs::read(path).map_err(|cause| file_error(path, cause))
}

fn file_error(path: &Path, cause: impl Into<Box<dyn std::error::Error + Send + Sync>>) -> Error {
    Error::File {
        cause: io::Error::other(cause),
        path: path.into(),
    }
}
