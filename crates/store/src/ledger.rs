//! The replicated document: the state that committed edits and publications are applied to.

use std::collections::{
    BTreeMap,
    VecDeque, //
};

use codes::Code;
use serde::{
    Deserialize,
    Serialize, //
};
use settings::{
    Document,
    Section,
    Source, //
};

use crate::{
    audit::AuditRecord,
    edit::Edit,
    evacuation::{
        Evacuated,
        Evacuation, //
    },
    outcome::Outcome,
    publication::{
        Publication,
        Published, //
    },
    version::{
        Revision,
        Version, //
    },
};

/// Number of changes whose audit records are kept, with the outcomes of the edits.
///
/// A resend of an older edit is refused, because its base version is no longer in force.
pub const RETAINED_EDITS: usize = 20_000;

/// Section name in the audit trail for a document that is published as a whole.
pub const DOCUMENT: &str = "document";

/// Section name in the audit trail for an evacuation.
pub const EVACUATION: &str = "evacuation";

/// Number of versions kept of each section, including the one in force.
pub const RETAINED_VERSIONS: usize = 32;

/// A section in force, or the version at which it was removed.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct StoredSection {
    /// Text of the section; empty if it was removed.
    pub text: Box<str>,
    /// Version of the section.
    pub version: Version,
}

/// The document that results from the accepted edits, with the outcome of each edit.
///
/// Deterministic: the same changes, applied in the same order, give the same ledger on every store.
#[derive(Clone, Debug, Default)]
#[derive(Deserialize, Serialize)]
pub struct Ledger {
    audit: VecDeque<AuditRecord>,
    #[serde(skip)]
    document: Document,
    /// Encoded by snapshots after the other fields, which earlier versions of this program read.
    #[serde(skip)]
    evacuated: Evacuated,
    history: BTreeMap<Box<str>, VecDeque<StoredSection>>,
    outcomes: BTreeMap<Box<str>, Outcome>,
    published: Option<Publication>,
    revision: Revision,
    sections: BTreeMap<Box<str>, StoredSection>,
}

impl Ledger {
    /// Creates an empty ledger.
    pub fn new() -> Self {
        Self::default()
    }

    /// Applies an edit; a resend with the same id returns the first outcome and changes nothing.
    pub fn apply(&mut self, edit: &Edit) -> Outcome {
        if let Some(outcome) = self.outcomes.get(&edit.id) {
            return outcome.clone();
        }
        let version = self.version(&edit.section);
        let outcome = match self.check(edit) {
            Ok(document) => self.accept(edit, document),
            Err((code, advice)) => Outcome::Refused {
                advice,
                code,
                version,
            },
        };
        self.record_outcome(edit, &outcome);
        outcome
    }

    /// The audit trail, oldest first: the last [`RETAINED_EDITS`] edits, publications and evacuations,
    /// including refused ones.
    pub const fn audit(&self) -> &VecDeque<AuditRecord> {
        &self.audit
    }

    /// The document in force.
    pub const fn document(&self) -> &Document {
        &self.document
    }

    /// Starts or ends an evacuation; returns the revision of the evacuated data centres. An order that
    /// changes nothing, such as one that is resent, is not audited.
    pub fn evacuate(&mut self, evacuation: &Evacuation) -> Revision {
        let base = self.evacuated.revision;
        if self.evacuated.apply(evacuation) {
            let verb = match evacuation.evacuated {
                true => "start",
                false => "end",
            };
            let revision = self.evacuated.revision;
            self.push_audit(AuditRecord {
                author: evacuation.author.clone(),
                base: Version(base.0),
                id: format!("{verb} {}", evacuation.centre).into(),
                outcome: Outcome::Accepted {
                    revision,
                    version: Version(revision.0),
                },
                section: EVACUATION.into(),
                time: evacuation.time,
            });
        }
        self.evacuated.revision
    }

    /// The evacuated data centres.
    pub const fn evacuated(&self) -> &Evacuated {
        &self.evacuated
    }

    /// The last [`RETAINED_VERSIONS`] versions of a section, oldest first; the last one is in
    /// force. A version with an empty text removed the section.
    pub fn history(&self, section: &str) -> impl DoubleEndedIterator<Item = &StoredSection> {
        self.history.get(section).into_iter().flatten()
    }

    /// Outcome of the edit with this id, if it is known.
    pub fn outcome(&self, id: &str) -> Option<&Outcome> {
        self.outcomes.get(id)
    }

    /// Puts a publication in force, unless the version in force is as high or higher.
    pub fn publish(&mut self, publication: &Publication) -> Published {
        let result = self
            .check_publication(publication)
            .unwrap_or(Published::Accepted);
        self.audit_publication(publication, result);
        if result == Published::Accepted {
            self.published = Some(publication.clone());
        }
        result
    }

    /// The result of a publication that would change nothing; none if it would be accepted.
    pub fn check_publication(&self, publication: &Publication) -> Option<Published> {
        match &self.published {
            Some(in_force) if in_force.version > publication.version => Some(Published::Superseded),
            Some(in_force) if in_force.same_document(publication) => Some(Published::Repeated),
            Some(in_force) if in_force.version == publication.version => Some(Published::Conflict),
            Some(_) | None => None,
        }
    }

    /// The publication in force.
    pub const fn published(&self) -> Option<&Publication> {
        self.published.as_ref()
    }

    /// The revision in force.
    pub const fn revision(&self) -> Revision {
        self.revision
    }

    /// The sections in force, by name.
    pub fn sections(&self) -> impl Iterator<Item = (&str, &StoredSection)> {
        self.sections
            .iter()
            .filter(|(_, stored)| !stored.text.is_empty())
            .map(|(name, stored)| (&**name, stored))
    }

    /// Sets the evacuated data centres, after a snapshot was decoded.
    pub(crate) fn restore_evacuated(&mut self, evacuated: Evacuated) {
        self.evacuated = evacuated;
    }

    /// Parses the document from the sections' texts, after a snapshot was decoded.
    pub(crate) fn rebuild(&mut self) {
        let sections = self.sections().filter_map(|(name, stored)| {
            let section = Section::parse(&Source::new(name, &stored.text)).ok()?;
            Some((name.into(), section))
        });
        let sections = sections.collect();
        self.document.sections = sections;
    }

    fn accept(&mut self, edit: &Edit, document: Document) -> Outcome {
        let version = self.version(&edit.section).next();
        self.document = document;
        self.revision = self.revision.next();
        let stored = StoredSection {
            text: edit.text.clone(),
            version,
        };
        let history = self.history.entry(edit.section.clone()).or_default();
        history.push_back(stored.clone());
        if history.len() > RETAINED_VERSIONS {
            history.pop_front();
        }
        self.sections.insert(edit.section.clone(), stored);
        Outcome::Accepted {
            revision: self.revision,
            version,
        }
    }

    fn check(&self, edit: &Edit) -> Result<Document, (Code, Box<str>)> {
        let owner = self.document.sections.get(&edit.section);
        check_team(edit, owner)?;
        let version = self.version(&edit.section);
        if edit.base != version {
            let advice = format!(
                "section `{}` is at version {version}, the edit was made from version {}",
                edit.section, edit.base
            );
            return Err((Code::EditConflict, advice.into()));
        }
        let mut document = self.document.clone();
        if edit.text.is_empty() {
            document.sections.remove(&edit.section);
        } else {
            let source = Source::new(&edit.section, &edit.text);
            let section = Section::parse(&source)
                .map_err(|error| (Code::EditInvalid, error.to_string().into()))?;
            check_team(edit, Some(&section))?;
            document.sections.insert(edit.section.clone(), section);
        }
        document
            .validate()
            .map_err(|advice| (Code::EditInvalid, advice))?;
        Ok(document)
    }

    fn record_outcome(&mut self, edit: &Edit, outcome: &Outcome) {
        self.outcomes.insert(edit.id.clone(), outcome.clone());
        self.push_audit(AuditRecord {
            author: edit.author.clone(),
            base: edit.base,
            id: edit.id.clone(),
            outcome: outcome.clone(),
            section: edit.section.clone(),
            time: edit.time,
        });
    }

    /// Adds a publication to the audit trail, unless it repeats the one in force.
    fn audit_publication(&mut self, publication: &Publication, result: Published) {
        let base = self
            .published
            .as_ref()
            .map_or(0, |in_force| in_force.version);
        let refused = |code: Code| Outcome::Refused {
            advice: code.meaning().into(),
            code,
            version: Version(base),
        };
        let outcome = match result {
            Published::Accepted => Outcome::Accepted {
                revision: Revision(publication.version),
                version: Version(publication.version),
            },
            Published::Conflict => refused(Code::PublicationConflict),
            Published::Repeated => return,
            Published::Superseded => refused(Code::PublicationSuperseded),
        };
        self.push_audit(AuditRecord {
            author: publication.author.clone(),
            base: Version(base),
            id: format!("{:08x}", crc32c::crc32c(&publication.bytes)).into(),
            outcome,
            section: DOCUMENT.into(),
            time: publication.time,
        });
    }

    fn push_audit(&mut self, record: AuditRecord) {
        self.audit.push_back(record);
        if self.audit.len() > RETAINED_EDITS
            && let Some(oldest) = self.audit.pop_front()
        {
            self.outcomes.remove(&oldest.id);
        }
    }

    fn version(&self, section: &str) -> Version {
        self.sections
            .get(section)
            .map_or(Version::default(), |stored| stored.version)
    }
}

/// Refuses an edit of a section that belongs to another team.
fn check_team(edit: &Edit, section: Option<&Section>) -> Result<(), (Code, Box<str>)> {
    match (&edit.team, section) {
        (Some(team), Some(section)) if *team != section.team => {
            let advice = format!(
                "section `{}` belongs to team `{}`, the key to team `{team}`",
                edit.section, section.team
            );
            Err((Code::EditForbidden, advice.into()))
        }
        _ => Ok(()),
    }
}
