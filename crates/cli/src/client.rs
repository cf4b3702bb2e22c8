//! Calls of an instance's admin face.

use std::{
    net::SocketAddr,
    time::Duration, //
};

use compio::{
    net::TcpStream,
    time::timeout,
    tls::TlsConnector, //
};
use cyper_core::HyperStream;
use http_body_util::{
    BodyExt,
    Full, //
};
use hyper::{
    Method, Request,
    body::Bytes,
    client::conn::http1::{
        SendRequest,
        handshake, //
    },
    header::{
        AUTHORIZATION,
        HOST, //
    },
};
use serde::{
    Deserialize,
    Serialize,
    de::DeserializeOwned, //
};

use crate::error::Error;

/// Time after which a connection that is not made is given up.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Time after which an instance that does not answer is given up.
const TIMEOUT: Duration = Duration::from_secs(6);

/// The body of a refusal.
#[derive(Debug)]
#[derive(Deserialize)]
struct Refusal {
    advice: Box<str>,
    code: u16,
    meaning: Box<str>,
}

/// Calls the first of some instances that can be reached.
#[derive(Clone, Debug)]
pub struct Client {
    instances: Box<[SocketAddr]>,
    key: Option<Box<str>>,
    patience: Duration,
    tls: Option<TlsConnector>,
}

impl Client {
    /// Creates a client of the instances with those admin addresses.
    pub fn new(instances: &[SocketAddr]) -> Self {
        Self {
            instances: instances.into(),
            key: None,
            patience: TIMEOUT,
            tls: None,
        }
    }

    /// Sets the operator's key.
    pub fn with_key(mut self, key: Option<Box<str>>) -> Self {
        self.key = key;
        self
    }

    /// Sets the time after which an instance that does not answer is given up.
    pub const fn with_timeout(mut self, patience: Duration) -> Self {
        self.patience = patience;
        self
    }

    /// Sets the TLS that the instances are called with; plain HTTP without it.
    pub fn with_tls(mut self, tls: Option<TlsConnector>) -> Self {
        self.tls = tls;
        self
    }

    /// Reads a page.
    ///
    /// # Errors
    ///
    /// Any failure to reach an instance or to read its answer, or its refusal.
    pub async fn get<T: DeserializeOwned>(&self, path: &str) -> Result<T, Error> {
        self.call(Method::GET, path, &Bytes::new()).await
    }

    /// Sends a value and reads the answer.
    ///
    /// # Errors
    ///
    /// Any failure to reach an instance or to read its answer, or its refusal.
    pub async fn post<T: DeserializeOwned>(
        &self,
        path: &str,
        value: &impl Serialize,
    ) -> Result<T, Error> {
        let body = serde_json::to_vec(value).map_err(|error| Error::Unsent(error.into()))?;
        self.call(Method::POST, path, &body.into()).await
    }

    /// Calls one instance after another until one can be reached.
    async fn call<T: DeserializeOwned>(
        &self,
        method: Method,
        path: &str,
        body: &Bytes,
    ) -> Result<T, Error> {
        let mut failure = Error::Missing("--instance");
        for instance in &self.instances {
            let sender = match self.connect(*instance).await {
                Ok(sender) => sender,
                Err(error) => {
                    failure = error;
                    continue;
                }
            };
            let request = self.request(*instance, method, path, body)?;
            return timeout(self.patience, exchange(*instance, sender, request))
                .await
                .unwrap_or(Err(Error::Timeout(*instance)));
        }
        Err(failure)
    }

    fn request(
        &self,
        instance: SocketAddr,
        method: Method,
        path: &str,
        body: &Bytes,
    ) -> Result<Request<Full<Bytes>>, Error> {
        let mut request = Request::builder()
            .method(method)
            .uri(path)
            .header(HOST, instance.to_string());
        if let Some(key) = &self.key {
            request = request.header(AUTHORIZATION, format!("Bearer {key}"));
        }
        request
            .body(Full::new(body.clone()))
            .map_err(|error| Error::Unsent(error.into()))
    }

    async fn connect(&self, instance: SocketAddr) -> Result<SendRequest<Full<Bytes>>, Error> {
        let connect = async {
            let stream = TcpStream::connect(instance)
                .await
                .map_err(|error| unreachable(instance, &error))?;
            let stream = match &self.tls {
                Some(tls) => HyperStream::new_tls(
                    tls.connect(&instance.ip().to_string(), stream)
                        .await
                        .map_err(|error| unreachable(instance, &error))?,
                ),
                None => HyperStream::new_plain(stream),
            };
            let (sender, connection) = handshake(stream)
                .await
                .map_err(|error| unreachable(instance, &error))?;
            compio::runtime::spawn(async move {
                // A failure shows in the answer, or in its absence.
                let _ended = connection.await;
            })
            .detach();
            Ok(sender)
        };
        let silent = Err(unreachable(instance, &"no answer in time"));
        timeout(CONNECT_TIMEOUT, connect).await.unwrap_or(silent)
    }
}

/// Sends a request and reads the answer.
async fn exchange<T: DeserializeOwned>(
    instance: SocketAddr,
    mut sender: SendRequest<Full<Bytes>>,
    request: Request<Full<Bytes>>,
) -> Result<T, Error> {
    let lost = |error: hyper::Error| Error::Lost {
        cause: error.to_string().into(),
        instance,
    };
    let response = sender.send_request(request).await.map_err(lost)?;
    let status = response.status();
    let body = response.into_body().collect().await.map_err(lost)?;
    let body = body.to_bytes();
    if !status.is_success() {
        let text = String::from_utf8_lossy(&body);
        let advice = match serde_json::from_slice::<Refusal>(&body) {
            Ok(refusal) => {
                let Refusal {
                    advice,
                    code,
                    meaning,
                } = refusal;
                format!("{code} {meaning} {advice}")
            }
            Err(_) => format!("{} {}", status.as_u16(), text.trim_end()),
        };
        return Err(Error::Refused {
            advice: advice.into(),
            instance,
        });
    }
    serde_json::from_slice(&body).map_err(|error| Error::Answer {
        advice: error.to_string().into(),
        instance,
    })
}

fn unreachable(instance: SocketAddr, cause: &impl ToString) -> Error {
    Error::Unreachable {
        cause: cause.to_string().into(),
        instance,
    }
}
