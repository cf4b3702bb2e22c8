//! The calls between instances.

use crate::{
    claim::{
        Claim,
        ClaimEnd,
        ClaimRecord,
        ClaimReply, //
    },
    edit::{
        Edit,
        Outcome, //
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
