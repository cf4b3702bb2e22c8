//! The state that edits are applied to.

use std::collections::BTreeMap;

use codes::Code;
use settings::{
    Document,
    Section,
    Source, //
};

use crate::{
    audit::Audit,
    edit::Edit,
    outcome::Outcome,
    version::{
        Revision,
        Version, //
    },
};

/// A section in force, or the version at which it was removed.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Stored {
    /// Its text; empty if it was removed.
    pub text: Box<str>,
    /// Its version.
    pub version: Version,
}

/// The document as the accepted edits made it, with the answers that were given.
///
/// The same edits applied in the same order give the same ledger on every store.
#[derive(Clone, Debug, Default)]
pub struct Ledger {
    audit: Vec<Audit>,
    document: Document,
    outcomes: BTreeMap<Box<str>, Outcome>,
    revision: Revision,
    sections: BTreeMap<Box<str>, Stored>,
}

impl Ledger {
    /// Creates the ledger of a first start.
    pub fn new() -> Self {
        Self::default()
    }

    /// Applies an edit; a resend of an id returns the first outcome and changes nothing.
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
        self.outcomes.insert(edit.id.clone(), outcome.clone());
        self.audit.push(Audit {
            author: edit.author.clone(),
            base: edit.base,
            id: edit.id.clone(),
            outcome: outcome.clone(),
            section: edit.section.clone(),
            time: edit.time,
        });
        outcome
    }

    /// The audit trail, oldest first.
    pub fn audit(&self) -> &[Audit] {
        &self.audit
    }

    /// The document in force.
    pub const fn document(&self) -> &Document {
        &self.document
    }

    /// The outcome of the edit of that id, if there is one.
    pub fn outcome(&self, id: &str) -> Option<&Outcome> {
        self.outcomes.get(id)
    }

    /// The revision in force.
    pub const fn revision(&self) -> Revision {
        self.revision
    }

    /// The sections in force, by name.
    pub fn sections(&self) -> impl Iterator<Item = (&str, &Stored)> {
        self.sections
            .iter()
            .filter(|(_, stored)| !stored.text.is_empty())
            .map(|(name, stored)| (&**name, stored))
    }

    fn accept(&mut self, edit: &Edit, document: Document) -> Outcome {
        let version = self.version(&edit.section).next();
        self.document = document;
        self.revision = self.revision.next();
        self.sections.insert(
            edit.section.clone(),
            Stored {
                text: edit.text.clone(),
                version,
            },
        );
        Outcome::Accepted {
            revision: self.revision,
            version,
        }
    }

    fn check(&self, edit: &Edit) -> Result<Document, (Code, Box<str>)> {
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
            document.sections.insert(edit.section.clone(), section);
        }
        document
            .unique()
            .map_err(|advice| (Code::EditInvalid, advice))?;
        Ok(document)
    }

    fn version(&self, section: &str) -> Version {
        self.sections
            .get(section)
            .map_or(Version::default(), |stored| stored.version)
    }
}
