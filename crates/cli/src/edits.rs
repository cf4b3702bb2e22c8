//! Sends edits and reports their outcome.

use codes::Code;
use wire::{
    Edit,
    EditOutcome,
    SectionVersion, //
};

use crate::{
    client::Client,
    error::Error,
    exit::Exit,
    text_diff, //
};

/// Number of times that an edit is sent before its outcome is reported as unknown.
const ATTEMPTS: usize = 2;

/// Returns the id given by the operator, or a random one.
///
/// The id of an edit is this id, followed by `/` and the name of the section.
pub fn id(given: Option<&String>) -> String {
    match given {
        Some(id) => id.clone(),
        None => format!("{:016x}", rand::random::<u64>()),
    }
}

/// Sends an edit, resends it with the same id if its outcome is unknown, and reports the outcome.
///
/// # Errors
///
/// [`Error::UnknownOutcome`] if no attempt gave a conclusive response, or any other failure of the
/// first attempt, such as an unreachable instance or a refused request.
pub async fn send(client: &Client, edit: &Edit, id: &str, json: bool) -> Result<Exit, Error> {
    let outcome = submit(client, edit, id).await?;
    if json {
        println!(
            "{}",
            serde_json::json!({"edit": edit.id, "outcome": outcome, "section": edit.section})
        );
    } else {
        report(client, edit, &outcome).await;
    }
    Ok(match outcome {
        EditOutcome::Accepted { .. } => Exit::Success,
        EditOutcome::Refused { .. } => Exit::Refused,
    })
}

async fn submit(client: &Client, edit: &Edit, id: &str) -> Result<EditOutcome, Error> {
    // Whether an earlier attempt may have been applied.
    let mut uncertain = false;
    for _ in 0..ATTEMPTS {
        match client.post("/v1/edits", edit).await {
            Ok(EditOutcome::Refused {
                code: Code::EditUnknown,
                ..
            })
            | Err(Error::Response { .. } | Error::LostConnection { .. } | Error::Timeout(_)) => {
                uncertain = true
            }
            Ok(outcome) if !uncertain || !inconclusive(&outcome) => return Ok(outcome),
            Err(error) if !uncertain => return Err(error),
            Ok(_) | Err(_) => {}
        }
    }
    Err(Error::UnknownOutcome {
        id: id.into(),
        section: edit.section.clone(),
    })
}

/// Returns whether an outcome does not show if an earlier attempt was applied.
const fn inconclusive(outcome: &EditOutcome) -> bool {
    matches!(
        outcome,
        EditOutcome::Refused {
            code: Code::NoLeader,
            ..
        }
    )
}

async fn report(client: &Client, edit: &Edit, outcome: &EditOutcome) {
    let section = &edit.section;
    match outcome {
        EditOutcome::Accepted { revision, version } => {
            println!("section {section}: accepted as version {version}, revision {revision}");
        }
        EditOutcome::Refused {
            advice,
            code,
            version,
        } => {
            println!("section {section}: refused, {code} {advice}");
            if *code == Code::EditConflict {
                print_conflict(client, edit, *version).await;
            }
        }
    }
}

/// Prints the diff from the edit's base version to the current version.
async fn print_conflict(client: &Client, edit: &Edit, version: u64) {
    let section = &edit.section;
    let path = format!("/v1/history?section={section}");
    let Ok(history) = client.get::<Vec<SectionVersion>>(&path).await else {
        return println!("cannot read the history of section {section}");
    };
    let text_of = |number: u64| {
        let mut versions = history.iter();
        versions
            .find(|kept| kept.version == number)
            .map(|kept| &*kept.text)
    };
    let (before, after) = match (text_of(edit.base), edit.base) {
        (Some(before), _) => (before, text_of(version).unwrap_or_default()),
        (None, 0) => ("", text_of(version).unwrap_or_default()),
        (None, _) => return println!("version {} is no longer kept", edit.base),
    };
    let names = [
        format!("{section} version {}", edit.base),
        format!("{section} version {version}"),
    ];
    print!("{}", text_diff::unified(&names, before, after));
}
