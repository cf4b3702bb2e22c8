//! Who may call the operators' interface.

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
use process::Peer;
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
    Holder,
    Keys,
    Settings,
    Tls, //
};
use subtle::ConstantTimeEq;

use crate::{
    error::Error,
    refusal::Refusal, //
};

/// Who calls.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Caller {
    /// The holder of a key.
    Holder(Holder),
    /// Someone on this machine, who may do all, at an instance without keys.
    Local,
    /// Someone else, who may read, at an instance without keys.
    Remote,
}

/// What a page needs.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Right {
    Edit,
    Manage,
    None,
    Read,
}

/// The keys and the certificate of the operators' interface.
#[derive(Clone, Debug)]
pub struct Auth {
    keys: Option<Keys>,
    tls: Option<Arc<ServerConfig>>,
}

impl Auth {
    /// Reads the files that the settings name.
    ///
    /// # Errors
    ///
    /// The refusal of a file.
    pub fn open(settings: &Settings) -> Result<Self, Error> {
        let keys = settings.keys.as_deref().map(Keys::read).transpose()?;
        let tls = settings.tls.as_ref().map(config).transpose()?;
        Ok(Self { keys, tls })
    }

    /// TLS of the face; none for plain HTTP.
    pub fn acceptor(&self) -> Option<TlsAcceptor> {
        self.tls.clone().map(TlsAcceptor::from)
    }

    /// Tells who calls, and whether the caller may do what the request asks for.
    ///
    /// # Errors
    ///
    /// The refusal that the caller gets.
    pub fn permit<B>(&self, request: &Request<B>) -> Result<Caller, Refusal> {
        let right = right(request.method(), request.uri().path());
        let caller = match self.caller(request) {
            Some(caller) => caller,
            None if right == Right::None => Caller::Remote,
            None => {
                let advice = "the header `authorization` has no known key";
                return Err(Refusal::new(Code::Unauthenticated, advice));
            }
        };
        match (right, &caller) {
            (Right::Edit | Right::Manage, Caller::Remote) => {
                let advice = "an instance without keys takes changes from loopback addresses only";
                Err(Refusal::new(Code::Unauthenticated, advice))
            }
            (Right::Manage, Caller::Holder(Holder::Team(team))) => {
                let advice = format!("the key of team `{team}` is not an admin's");
                Err(Refusal::new(Code::EditForbidden, advice))
            }
            (Right::Edit | Right::Manage | Right::None | Right::Read, _) => Ok(caller),
        }
    }

    /// The caller; none if a key is needed and none fits.
    fn caller<B>(&self, request: &Request<B>) -> Option<Caller> {
        let Some(keys) = &self.keys else {
            let peer = request.extensions().get::<Peer>();
            return match peer.is_some_and(|Peer(address)| local(address.ip())) {
                true => Some(Caller::Local),
                false => Some(Caller::Remote),
            };
        };
        let header = request.headers().get(AUTHORIZATION)?.to_str().ok()?;
        let hash = digest(&SHA256, header.strip_prefix("Bearer ")?.as_bytes());
        let mut found = None;
        // Every key is compared, so that the time tells nothing about which one fits.
        for key in &keys.keys {
            if bool::from(key.digest.ct_eq(hash.as_ref())) {
                found = Some(Caller::Holder(key.holder.clone()));
            }
        }
        found
    }
}

/// The right that a page needs.
fn right(method: &Method, path: &str) -> Right {
    match (method, path) {
        (_, "/v1/announcements") => Right::None,
        (&Method::GET, path) if path.starts_with("/v1/") => Right::Read,
        (_, "/v1/edits") => Right::Edit,
        (_, path) if path.starts_with("/v1/") => Right::Manage,
        _ => Right::None,
    }
}

fn local(ip: IpAddr) -> bool {
    ip.to_canonical().is_loopback()
}

fn config(tls: &Tls) -> Result<Arc<ServerConfig>, Error> {
    let chain = pem(&tls.certificate)?;
    let certificates = CertificateDer::pem_slice_iter(&chain).collect::<Result<Vec<_>, _>>();
    let certificates = certificates.map_err(|cause| file(&tls.certificate, cause))?;
    let key = PrivateKeyDer::from_pem_slice(&pem(&tls.key)?);
    let key = key.map_err(|cause| file(&tls.key, cause))?;
    let config = ServerConfig::builder_with_provider(Arc::new(default_provider()))
        .with_safe_default_protocol_versions()
        .and_then(|builder| {
            builder
                .with_no_client_auth()
                .with_single_cert(certificates, key)
        })
        .map_err(|cause| file(&tls.certificate, cause))?;
    Ok(Arc::new(config))
}

fn pem(path: &Path) -> Result<Vec<u8>, Error> {
    fs::read(path).map_err(|cause| file(path, cause))
}

fn file(path: &Path, cause: impl Into<Box<dyn std::error::Error + Send + Sync>>) -> Error {
    Error::File {
        cause: io::Error::other(cause),
        path: path.into(),
    }
}
