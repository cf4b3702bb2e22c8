//! HTTP client for the admin API of instances.

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

/// Timeout for connecting to one instance, including the TLS and HTTP handshakes.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Default timeout for sending a request and receiving the whole response.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(6);

/// The body of an error response.
#[derive(Debug)]
#[derive(Deserialize)]
struct ErrorBody {
    advice: Box<str>,
    code: u16,
    meaning: Box<str>,
}

/// Sends requests to the first reachable instance of a list.
#[derive(Clone, Debug)]
pub struct Client {
    instances: Box<[SocketAddr]>,
    key: Option<Box<str>>,
    request_timeout: Duration,
    tls: Option<TlsConnector>,
}

impl Client {
    /// Creates a client for instances with the given admin addresses, tried in order.
    pub fn new(instances: &[SocketAddr]) -> Self {
        Self {
            instances: instances.into(),
            key: None,
            request_timeout: REQUEST_TIMEOUT,
            tls: None,
        }
    }

    /// Sets the operator's key, sent as a bearer token.
    pub fn with_key(mut self, key: Option<Box<str>>) -> Self {
        self.key = key;
        self
    }

    /// Sets the timeout for sending a request and receiving the whole response.
    pub const fn with_timeout(mut self, request_timeout: Duration) -> Self {
        self.request_timeout = request_timeout;
        self
    }

    /// Sets the TLS connector; plain HTTP is used without one.
    pub fn with_tls(mut self, tls: Option<TlsConnector>) -> Self {
        self.tls = tls;
        self
    }

    /// Sends a GET request and decodes the JSON response.
    ///
    /// # Errors
    ///
    /// Any failure to reach an instance, its refusal, or a response that cannot be decoded.
    pub async fn get<T: DeserializeOwned>(&self, path: &str) -> Result<T, Error> {
        self.send(Method::GET, path, &Bytes::new()).await
    }

    /// Sends a value as JSON in a POST request and decodes the JSON response.
    ///
    /// # Errors
    ///
    /// Any failure to reach an instance, its refusal, or a response that cannot be decoded.
    pub async fn post<T: DeserializeOwned>(
        &self,
        path: &str,
        value: &impl Serialize,
    ) -> Result<T, Error> {
        let body = serde_json::to_vec(value).map_err(|error| Error::Request(error.into()))?;
        self.send(Method::POST, path, &body.into()).await
    }

    /// Sends a request to the first instance that a connection can be established to.
    ///
    /// If connecting fails, tries the next instance. The request itself is sent at most once.
    async fn send<T: DeserializeOwned>(
        &self,
        method: Method,
        path: &str,
        body: &Bytes,
    ) -> Result<T, Error> {
        let mut last_error = Error::Missing("--instance");
        for instance in &self.instances {
            let sender = match self.connect(*instance).await {
                Ok(sender) => sender,
                Err(error) => {
                    last_error = error;
                    continue;
                }
            };
            let request = self.build_request(*instance, method, path, body)?;
            return timeout(self.request_timeout, exchange(*instance, sender, request))
                .await
                .unwrap_or(Err(Error::Timeout(*instance)));
        }
        Err(last_error)
    }

    fn build_request(
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
            .map_err(|error| Error::Request(error.into()))
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
                // A failure of the connection also fails the request.
                let _result = connection.await;
            })
            .detach();
            Ok(sender)
        };
        let timed_out = Err(unreachable(instance, &"timed out"));
        timeout(CONNECT_TIMEOUT, connect).await.unwrap_or(timed_out)
    }
}

/// Sends a request and decodes the response.
async fn exchange<T: DeserializeOwned>(
    instance: SocketAddr,
    mut sender: SendRequest<Full<Bytes>>,
    request: Request<Full<Bytes>>,
) -> Result<T, Error> {
    let lost_connection = |error: hyper::Error| Error::LostConnection {
        cause: error.to_string().into(),
        instance,
    };
    let response = sender
        .send_request(request)
        .await
        .map_err(lost_connection)?;
    let status = response.status();
    let body = response
        .into_body()
        .collect()
        .await
        .map_err(lost_connection)?;
    let body = body.to_bytes();
    if !status.is_success() {
        let text = String::from_utf8_lossy(&body);
        let reason = match serde_json::from_slice::<ErrorBody>(&body) {
            Ok(error) => {
                let ErrorBody {
                    advice,
                    code,
                    meaning,
                } = error;
                format!("{code} {meaning} {advice}")
            }
            Err(_) => format!("{} {}", status.as_u16(), text.trim_end()),
        };
        return Err(Error::Refused {
            instance,
            reason: reason.into(),
        });
    }
    serde_json::from_slice(&body).map_err(|error| Error::Response {
        cause: error.to_string().into(),
        instance,
    })
}

fn unreachable(instance: SocketAddr, cause: &impl ToString) -> Error {
    Error::Unreachable {
        cause: cause.to_string().into(),
        instance,
    }
}
