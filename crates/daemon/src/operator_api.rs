//! Operator API requests that read or change the document.

use std::{
    rc::Rc,
    time::Duration, //
};

use codes::Code;
use hyper::Uri;
use process::query_value;
use serde::Serialize;
use settings::KeyOwner;
use wire::{
    AuditLine,
    AuditQuery,
    DEFAULT_AUDIT_LINES,
    Edit,
    EditOutcome,
    SectionText,
    SectionVersion, //
};

use crate::{
    auth::Principal,
    convert_change,
    error_response::ErrorResponse,
    node::Node,
    proposals,
    store_client, //
};

/// Time for which a watch request waits for a later revision.
const WATCH_TIMEOUT: Duration = Duration::from_secs(4);

/// The document in force at this instance.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Serialize)]
pub struct ActiveDocument {
    /// Revision of the document.
    pub revision: u64,
    /// Its sections.
    pub sections: Vec<SectionText>,
}

/// Submits an edit to the stores with the principal's name as its author.
pub async fn edit(node: &Rc<Node>, principal: Principal, mut edit: Edit) -> EditOutcome {
    edit.team = None;
    match principal {
        Principal::KeyOwner(KeyOwner::Admin(name)) => edit.author = name,
        Principal::KeyOwner(KeyOwner::Team(name)) => {
            edit.author = name.clone();
            edit.team = Some(name);
        }
        Principal::Local | Principal::Remote => {}
    }
    let outcome = match &node.replica {
        Some(_) => proposals::edit(node, edit).await,
        None => store_client::edit(node, edit).await,
    };
    if let EditOutcome::Refused { code, .. } = &outcome {
        node.metrics.count_refusal(*code);
    }
    outcome
}

/// Reads the audit trail; the query may contain `count` and `section`.
///
/// # Errors
///
/// The error response for the client.
pub async fn audit(node: &Node, uri: &Uri) -> Result<Vec<AuditLine>, ErrorResponse> {
    let count = match query_value(uri, "count").map(str::parse::<u32>) {
        Some(Ok(count)) => count,
        Some(Err(error)) => {
            let advice = format!("`count` is not a number: {error}");
            return Err(ErrorResponse::new(Code::ValueInvalid, advice));
        }
        None => DEFAULT_AUDIT_LINES,
    };
    let section = query_value(uri, "section").map(Into::into);
    let lines = store_client::audit(node, AuditQuery { count, section }).await;
    lines.ok_or_else(no_confirmed_store)
}

/// Reads the versions of the section that the query names.
///
/// # Errors
///
/// The error response for the client.
pub async fn history(node: &Node, uri: &Uri) -> Result<Vec<SectionVersion>, ErrorResponse> {
    let section = query_value(uri, "section").unwrap_or_default();
    let versions = store_client::history(node, section.into()).await;
    match versions {
        Some(versions) if versions.is_empty() => {
            let advice = format!("there is no section `{section}`");
            Err(ErrorResponse::new(Code::SectionUnknown, advice))
        }
        versions => versions.ok_or_else(no_confirmed_store),
    }
}

/// Returns the document in force, after waiting up to [`WATCH_TIMEOUT`] for a revision later than
/// the query's `revision`.
pub async fn watch(node: &Node, uri: &Uri) -> ActiveDocument {
    let revision = query_value(uri, "revision").and_then(|text| text.parse().ok());
    let listener = node.document_sync.updated.listen();
    if node.view.configuration.borrow().revision() <= revision.unwrap_or_default() {
        let _notified = compio::time::timeout(WATCH_TIMEOUT, listener).await;
    }
    let configuration = node.view.configuration.borrow();
    ActiveDocument {
        revision: configuration.revision(),
        sections: convert_change::sections_to_wire(&configuration),
    }
}

fn no_confirmed_store() -> ErrorResponse {
    let advice = "no store that is in contact with a quorum can be reached";
    ErrorResponse::new(Code::NoLeader, advice)
}
