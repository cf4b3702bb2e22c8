//! `mimosausher audit`: prints the audit trail of edits.

use wire::{
    AuditLine,
    EditOutcome, //
};

use crate::{
    client::Client,
    error::Error,
    options::Audit,
    table,
    timestamp, //
};

/// Prints the latest lines of the audit trail, oldest first.
///
/// # Errors
///
/// Any failure of the request.
pub async fn run(client: Client, options: &Audit, json: bool) -> Result<(), Error> {
    let mut path = format!("/v1/audit?count={}", options.count);
    if let Some(section) = &options.section {
        path += &format!("&section={section}");
    }
    let lines: Vec<AuditLine> = client.get(&path).await?;
    if json {
        println!("{}", serde_json::json!(lines));
        return Ok(());
    }
    let rows: Vec<_> = lines.iter().map(row).collect();
    let heading = ["TIME", "AUTHOR", "SECTION", "BASE", "RESULT", "ID"];
    table::print(heading, &rows);
    Ok(())
}

fn row(line: &AuditLine) -> [String; 6] {
    let result = match &line.outcome {
        EditOutcome::Accepted { revision, version } => {
            format!("version {version}, revision {revision}")
        }
        EditOutcome::Refused { code, .. } => format!("refused, {} {}", code.number(), code.name()),
    };
    [
        timestamp::format(line.time),
        line.author.to_string(),
        line.section.to_string(),
        line.base.to_string(),
        result,
        line.id.to_string(),
    ]
}
