//! The pages of the operators' interface that read and change the document.

use std::{
    rc::Rc,
    time::Duration, //
};

use codes::Code;
use hyper::Uri;
use process::query_value;
use serde::Serialize;
use settings::Holder;
use wire::{
    AUDIT_LINES,
    AuditLine,
    AuditQuery,
    Edit,
    Outcome,
    PastVersion,
    SectionText, //
};

use crate::{
    auth::Caller,
    convert_change,
    node::Node,
    proposals,
    refusal::Refusal,
    stores, //
};

/// Time for which a caller waits for a later revision.
const WATCH_WAIT: Duration = Duration::from_secs(4);

/// The document in force at an instance.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Serialize)]
pub struct InForce {
    /// Revision of the document.
    pub revision: u64,
    /// Its sections.
    pub sections: Vec<SectionText>,
}

/// Hands an edit to the stores, in the name of the caller.
pub async fn edit(node: &Rc<Node>, caller: Caller, mut edit: Edit) -> Outcome {
    edit.team = None;
    match caller {
        Caller::Holder(Holder::Admin(name)) => edit.author = name,
        Caller::Holder(Holder::Team(name)) => {
            edit.author = name.clone();
            edit.team = Some(name);
        }
        Caller::Local | Caller::Remote => {}
    }
    let outcome = match &node.replica {
        Some(_) => proposals::edit(node, edit).await,
        None => stores::edit(node, edit).await,
    };
    if let Outcome::Refused { code, .. } = &outcome {
        node.metrics.refuse(*code);
    }
    outcome
}

/// Reads the audit trail; the query may hold `count` and `section`.
///
/// # Errors
///
/// The refusal that the caller gets.
pub async fn audit(node: &Node, uri: &Uri) -> Result<Vec<AuditLine>, Refusal> {
    let count = match query_value(uri, "count").map(str::parse::<u32>) {
        Some(Ok(count)) => count,
        Some(Err(error)) => {
            let advice = format!("`count` is not a number: {error}");
            return Err(Refusal::new(Code::ValueInvalid, advice));
        }
        None => AUDIT_LINES,
    };
    let section = query_value(uri, "section").map(Into::into);
    let lines = stores::audit(node, AuditQuery { count, section }).await;
    lines.ok_or_else(unread)
}

/// Reads the versions of the section that the query names.
///
/// # Errors
///
/// The refusal that the caller gets.
pub async fn history(node: &Node, uri: &Uri) -> Result<Vec<PastVersion>, Refusal> {
    let section = query_value(uri, "section").unwrap_or_default();
    let versions = stores::history(node, section.into()).await;
    match versions {
        Some(versions) if versions.is_empty() => {
            let advice = format!("there is no section `{section}`");
            Err(Refusal::new(Code::SectionUnknown, advice))
        }
        versions => versions.ok_or_else(unread),
    }
}

/// Waits for a while until a revision later than the query's `revision` is in force.
pub async fn watch(node: &Node, uri: &Uri) -> InForce {
    let revision = query_value(uri, "revision").and_then(|text| text.parse().ok());
    let listener = node.spread.updated.listen();
    if node.known.configuration.borrow().revision() <= revision.unwrap_or_default() {
        let _notified = compio::time::timeout(WATCH_WAIT, listener).await;
    }
    let configuration = node.known.configuration.borrow();
    InForce {
        revision: configuration.revision(),
        sections: convert_change::texts(&configuration),
    }
}

fn unread() -> Refusal {
    let advice = "no store that is in contact with a quorum can be reached";
    Refusal::new(Code::NoLeader, advice)
}
