//! The calls between instances.

use codes::Code;
use serde::{
    Deserialize,
    Serialize, //
};

use crate::{
    claim::{
        Claim,
        ClaimEnd,
        ClaimRecord,
        ClaimReply, //
    },
    follow::{
        Follow,
        Followed, //
    },
    log::{
        Decision,
        Identity,
        LogMessage,
        Proposal, //
    },
    status::Status,
    trail::{
        AuditLine,
        AuditQuery,
        PastVersion, //
    },
};

/// An operator's edit of one section.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Edit {
    /// Who edits.
    pub author: Box<str>,
    /// Version of the section that the edit was made from; 0 for a new section.
    pub base: u64,
    /// Identifies the edit, so that it can be resent.
    pub id: Box<str>,
    /// Name of the section.
    pub section: Box<str>,
    /// The team whose key was used; none if every section may be edited.
    #[serde(default)]
    pub team: Option<Box<str>>,
    /// Text of the section after the edit; empty to remove the section.
    pub text: Box<str>,
}

/// What became of an edit.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Outcome {
    /// It is synced to disk and will be in force everywhere.
    Accepted {
        /// Revision of the document.
        revision: u64,
        /// Version of the section.
        version: u64,
    },
    /// It changed nothing.
    Refused {
        /// What is wrong, and where.
        advice: Box<str>,
        /// Why.
        code: Code,
        /// Version of the section in force.
        version: u64,
    },
}

/// A section's text and version.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct SectionText {
    /// Name of the section.
    pub name: Box<str>,
    /// Its text.
    pub text: Box<str>,
    /// Its version.
    pub version: u64,
}

/// A whole document.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct Update {
    /// Revision of the document.
    pub revision: u64,
    /// All its sections.
    pub sections: Vec<SectionText>,
}

/// Calls that an instance answers to other instances.
#[tarpc::service]
pub trait Inner {
    /// Reads the audit trail; none if this instance is no store or no quorum confirms it.
    async fn audit(query: AuditQuery) -> Option<Vec<AuditLine>>;

    /// Answers at once, to show that the connection is alive.
    async fn beat();

    /// Claims an idempotency key; entries only.
    async fn claim(claim: Claim) -> ClaimReply;

    /// Hands over all claims to a new holder; none if this entry may have missed some.
    async fn claims() -> Option<Vec<ClaimRecord>>;

    /// Accepts or refuses an edit; stores only.
    async fn edit(edit: Edit) -> Outcome;

    /// Waits for a document newer than the follower's, for a while; none if this instance is no
    /// store.
    async fn follow(follow: Follow) -> Option<Followed>;

    /// Reads the last versions of a section, oldest first; none if this instance is no store or
    /// no quorum confirms it.
    async fn history(section: Box<str>) -> Option<Vec<PastVersion>>;

    /// Says which data folder the store has; none from other instances.
    async fn identify() -> Option<Identity>;

    /// Says the latest accepted revision; none if this store does not lead, or can't tell.
    async fn latest() -> Option<u64>;

    /// Takes a message of the replicated log; stores only.
    async fn log(message: LogMessage);

    /// Decides a request if this store leads, and refuses it otherwise.
    async fn propose(proposal: Proposal) -> Decision;

    /// Takes in how the request of a claim ended; entries only.
    async fn settle(claim: Claim, end: ClaimEnd) -> bool;

    /// Describes the instance.
    async fn status() -> Status;

    /// Whether no document has ever been in force; none from an instance that cannot know.
    async fn unused() -> Option<bool>;
}
