//! The audit trail, as reported to operators.

use store::{
    AuditRecord,
    Outcome, //
};
use wire::{
    AuditLine,
    AuditQuery, //
};

use crate::replica::Replica;

/// The last records of the audit trail that match a query, oldest first.
pub fn audit_records(replica: &Replica, query: &AuditQuery) -> Vec<AuditLine> {
    let count = usize::try_from(query.count).unwrap_or(usize::MAX);
    let section = query.section.as_ref();
    let wanted = |line: &&AuditRecord| section.is_none_or(|name| *name == line.section);
    let trail = replica.ledger().audit().iter().rev();
    let mut lines: Vec<_> = trail.filter(wanted).take(count).map(line).collect();
    lines.reverse();
    lines
}

/// Converts an outcome to its wire format.
pub fn outcome(from: Outcome) -> wire::EditOutcome {
    match from {
        Outcome::Accepted { revision, version } => wire::EditOutcome::Accepted {
            revision: revision.0,
            version: version.0,
        },
        Outcome::Refused {
            advice,
            code,
            version,
        } => wire::EditOutcome::Refused {
            advice,
            code,
            version: version.0,
        },
    }
}

fn line(audit: &AuditRecord) -> AuditLine {
    AuditLine {
        author: audit.author.clone(),
        base: audit.base.0,
        id: audit.id.clone(),
        outcome: outcome(audit.outcome.clone()),
        section: audit.section.clone(),
        time: audit.time,
    }
}
