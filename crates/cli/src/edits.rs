//! Sending an edit and telling what became of it.

use codes::Code;
use wire::{
    Edit,
    Outcome,
    PastVersion, //
};

use crate::{
    client::Client,
    difference,
    error::Error,
    exit::Exit, //
};

/// Times that an edit is sent before its outcome is reported as not known.
const ATTEMPTS: usize = 2;

/// An id for an edit that the operator gave none.
pub fn id(given: Option<&String>) -> String {
    match given {
        Some(id) => id.clone(),
        None => format!("{:016x}", rand::random::<u64>()),
    }
}

/// Sends an edit, again with the same id if its answer is lost, and reports the outcome.
///
/// # Errors
///
/// [`Error::Unknown`] if every answer was lost, or any failure before the edit was sent.
pub async fn send(client: &Client, edit: &Edit, id: &str, json: bool) -> Result<Exit, Error> {
    let outcome = outcome(client, edit, id).await?;
    if json {
        println!(
            "{}",
            serde_json::json!({"edit": edit.id, "outcome": outcome, "section": edit.section})
        );
    } else {
        report(client, edit, &outcome).await;
    }
    Ok(match outcome {
        Outcome::Accepted { .. } => Exit::Success,
        Outcome::Refused { .. } => Exit::Refused,
    })
}

async fn outcome(client: &Client, edit: &Edit, id: &str) -> Result<Outcome, Error> {
    let mut sent = false;
    for _ in 0..ATTEMPTS {
        match client.post("/v1/edits", edit).await {
            Ok(Outcome::Refused {
                code: Code::EditUnknown,
                ..
            })
            | Err(Error::Answer { .. } | Error::Lost { .. } | Error::Timeout(_)) => sent = true,
            Ok(outcome) if !sent || !tentative(&outcome) => return Ok(outcome),
            Err(error) if !sent => return Err(error),
            Ok(_) | Err(_) => {}
        }
    }
    Err(Error::Unknown {
        id: id.into(),
        section: edit.section.clone(),
    })
}

/// Whether an outcome tells nothing about an earlier attempt.
const fn tentative(outcome: &Outcome) -> bool {
    matches!(
        outcome,
        Outcome::Refused {
            code: Code::NoLeader,
            ..
        }
    )
}

async fn report(client: &Client, edit: &Edit, outcome: &Outcome) {
    let section = &edit.section;
    match outcome {
        Outcome::Accepted { revision, version } => {
            println!("section {section}: accepted as version {version}, revision {revision}");
        }
        Outcome::Refused {
            advice,
            code,
            version,
        } => {
            println!("section {section}: refused, {code} {advice}");
            if *code == Code::EditConflict {
                conflict(client, edit, *version).await;
            }
        }
    }
}

/// Shows what others changed since the version that the edit was made from.
async fn conflict(client: &Client, edit: &Edit, version: u64) {
    let section = &edit.section;
    let path = format!("/v1/history?section={section}");
    let Ok(history) = client.get::<Vec<PastVersion>>(&path).await else {
        return println!("what changed could not be read");
    };
    let text = |number: u64| {
        let mut versions = history.iter();
        versions
            .find(|past| past.version == number)
            .map(|past| &*past.text)
    };
    let (before, after) = match (text(edit.base), edit.base) {
        (Some(before), _) => (before, text(version).unwrap_or_default()),
        (None, 0) => ("", text(version).unwrap_or_default()),
        (None, _) => return println!("version {} is no longer kept", edit.base),
    };
    let names = [
        format!("{section} version {}", edit.base),
        format!("{section} version {version}"),
    ];
    print!("{}", difference::unified(&names, before, after));
}
