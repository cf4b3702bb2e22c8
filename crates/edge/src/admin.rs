//! The HTTP handler for operators: the metrics, and the state of the process for the command line.

use std::{
    net::SocketAddrV4,
    rc::Rc, //
};

use codes::Code;
use compio::runtime::spawn;
use http_body_util::Full;
use hyper::{
    Request, Response, StatusCode, Uri,
    body::{
        Bytes,
        Incoming, //
    },
    header::{
        CONTENT_TYPE,
        HeaderValue, //
    },
};
use process::{
    HttpHandler,
    Shutdown,
    query_value, //
};
use serde::Serialize;
use wire::{
    Announcement,
    AuditLine,
    AuditQuery,
    DEFAULT_AUDIT_LINES,
    MemberStatus,
    Overview,
    Standing,
    Status, //
};

use crate::{
    metrics::Metrics,
    settings::Settings,
    sockets::listen, //
};

/// State that a process exposes to operators.
pub trait Inspect: 'static {
    /// The last lines of the audit trail, oldest first; none if the process has no trail.
    fn audit(&self, query: &AuditQuery) -> Option<Vec<AuditLine>>;

    /// The known endpoints, in the order of their names.
    fn endpoints(&self) -> Vec<Announcement>;

    /// The metrics.
    fn metrics(&self) -> &Metrics;

    /// The settings.
    fn settings(&self) -> &Settings;

    /// The status of the process.
    fn status(&self) -> Status;

    /// The graceful shutdown.
    fn shutdown(&self) -> &Rc<Shutdown>;
}

/// Serves the pages for operators if the settings name a port. A failure to listen is only logged.
pub fn serve<D: Inspect>(process: Rc<D>) {
    let settings = process.settings();
    let Some(port) = settings.metrics else {
        return;
    };
    let address = SocketAddrV4::new(settings.address, port);
    match listen(address) {
        Ok(listener) => {
            let shutdown = process.shutdown().clone();
            spawn(process::serve(shutdown, listener, AdminHandler { process })).detach();
        }
        Err(error) => log::warn!(port; "cannot serve the metrics: {error}"),
    }
}

/// Answers requests of operators.
#[derive(Debug)]
struct AdminHandler<D> {
    process: Rc<D>,
}

impl<D> Clone for AdminHandler<D> {
    fn clone(&self) -> Self {
        Self {
            process: self.process.clone(),
        }
    }
}

impl<D: Inspect> HttpHandler for AdminHandler<D> {
    type Body = Full<Bytes>;

    fn handle(
        &self,
        request: Request<Incoming>,
    ) -> impl Future<Output = Response<Self::Body>> + 'static {
        let process = &*self.process;
        let uri = request.uri();
        let page = match uri.path() {
            "/v1/audit" => audit(process, uri),
            "/v1/endpoints" => json(&process.endpoints()),
            "/v1/overview" => json(&overview(process)),
            "/v1/status" => json(&process.status()),
            path if path.starts_with("/v1/") => {
                plain(StatusCode::NOT_FOUND, "no such page\n".into())
            }
            _ => text(process.metrics()),
        };
        async move { page }
    }
}

fn audit(process: &impl Inspect, uri: &Uri) -> Response<Full<Bytes>> {
    let count = query_value(uri, "count").map_or(Ok(DEFAULT_AUDIT_LINES), str::parse);
    let section = query_value(uri, "section").map(Into::into);
    match count.map(|count| process.audit(&AuditQuery { count, section })) {
        Ok(Some(lines)) => json(&lines),
        Ok(None) => plain(StatusCode::NOT_FOUND, "no such page\n".into()),
        Err(error) => {
            let code = Code::ValueInvalid;
            let advice = format!("[{}] `count` is not a number: {error}\n", code.number());
            plain(StatusCode::BAD_REQUEST, advice)
        }
    }
}

fn text(metrics: &Metrics) -> Response<Full<Bytes>> {
    match metrics.text() {
        Ok(text) => Response::new(Full::new(Bytes::from(text))),
        Err(error) => failure(&error),
    }
}

fn json(page: &impl Serialize) -> Response<Full<Bytes>> {
    match serde_json::to_vec(page) {
        Ok(bytes) => {
            let mut response = Response::new(Full::new(Bytes::from(bytes)));
            let json = HeaderValue::from_static("application/json");
            response.headers_mut().insert(CONTENT_TYPE, json);
            response
        }
        Err(error) => failure(&error),
    }
}

fn plain(status: StatusCode, text: String) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::new(Bytes::from(text)));
    *response.status_mut() = status;
    response
}

fn failure(error: &impl ToString) -> Response<Full<Bytes>> {
    log::error!("cannot encode a page: {}", error.to_string());
    let mut response = Response::new(Full::default());
    *response.status_mut() = StatusCode::INTERNAL_SERVER_ERROR;
    response
}

/// An overview of this process alone: operators query each entry and store separately.
fn overview(process: &impl Inspect) -> Overview {
    let status = process.status();
    let (instance, log) = (&status.instance, status.log.as_ref());
    Overview {
        asked: instance.name.clone(),
        leader: log.and_then(|log| log.leader.clone()),
        members: vec![MemberStatus {
            centre: instance.centre.clone(),
            lag: 0,
            name: instance.name.clone(),
            standing: Standing::Alive,
            status: Some(status.clone()),
        }],
        revision: status.revision,
        silent: Vec::new(),
    }
}
