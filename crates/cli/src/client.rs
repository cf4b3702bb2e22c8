//! Calls of an instance's admin face.

use std::{
    net::SocketAddr,
    time::Duration, //
};

use compio::net::TcpStream;
use cyper_core::HyperStream;
use http_body_util::{
    BodyExt,
    Full, //
};
use hyper::{
    Method,
    Request,
    Response,
    body::{
        Bytes,
        Incoming, //
    },
    client::conn::http1::handshake,
    header::HOST, //
};
use serde::{
    Serialize,
    de::DeserializeOwned, //
};

use crate::error::Error;

/// Time after which an instance that does not answer is given up.
const TIMEOUT: Duration = Duration::from_secs(6);

/// Calls one instance.
#[derive(Clone, Copy, Debug)]
pub struct Client {
    instance: SocketAddr,
}

impl Client {
    /// Creates a client of the instance with that admin address.
    pub const fn new(instance: SocketAddr) -> Self {
        Self { instance }
    }

    /// Reads a page.
    ///
    /// # Errors
    ///
    /// Any failure to reach the instance or to read its answer, or its refusal.
    pub async fn get<T: DeserializeOwned>(self, path: &str) -> Result<T, Error> {
        self.call(Method::GET, path, Bytes::new()).await
    }

    /// Sends a value and reads the answer.
    ///
    /// # Errors
    ///
    /// Any failure to reach the instance or to read its answer, or its refusal.
    pub async fn post<T: DeserializeOwned>(
        self,
        path: &str,
        value: &impl Serialize,
    ) -> Result<T, Error> {
        let body = serde_json::to_vec(value).map_err(|error| self.answer(&error))?;
        self.call(Method::POST, path, body.into()).await
    }

    async fn call<T: DeserializeOwned>(
        self,
        method: Method,
        path: &str,
        body: Bytes,
    ) -> Result<T, Error> {
        let request = Request::builder()
            .method(method)
            .uri(path)
            .header(HOST, self.instance.to_string())
            .body(Full::new(body))
            .map_err(|error| self.answer(&error))?;
        let exchange = async {
            let response = self.send(request).await?;
            let status = response.status();
            let body = response
                .into_body()
                .collect()
                .await
                .map_err(|error| self.answer(&error))?
                .to_bytes();
            if !status.is_success() {
                return Err(Error::Refused {
                    advice: String::from_utf8_lossy(&body).into(),
                    instance: self.instance,
                    status: status.as_u16(),
                });
            }
            serde_json::from_slice(&body).map_err(|error| self.answer(&error))
        };
        compio::time::timeout(TIMEOUT, exchange)
            .await
            .unwrap_or(Err(Error::Timeout(self.instance)))
    }

    async fn send(self, request: Request<Full<Bytes>>) -> Result<Response<Incoming>, Error> {
        let stream = TcpStream::connect(self.instance)
            .await
            .map_err(|error| self.unreachable(&error))?;
        let (mut sender, connection) = handshake(HyperStream::new_plain(stream))
            .await
            .map_err(|error| self.unreachable(&error))?;
        compio::runtime::spawn(async move {
            // A failure shows in the answer, or in its absence.
            let _ended = connection.await;
        })
        .detach();
        sender
            .send_request(request)
            .await
            .map_err(|error| self.unreachable(&error))
    }

    fn answer(self, error: &impl ToString) -> Error {
        Error::Answer {
            advice: error.to_string().into(),
            instance: self.instance,
        }
    }

    fn unreachable(self, error: &impl ToString) -> Error {
        Error::Unreachable {
            cause: error.to_string().into(),
            instance: self.instance,
        }
    }
}
