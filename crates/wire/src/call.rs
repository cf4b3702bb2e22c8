//! Remote calls between instances.

use crate::{
    audit::{
        AuditLine,
        AuditQuery,
        SectionVersion, //
    },
    claim::{
        Claim,
        ClaimEnd,
        ClaimRecord,
        ClaimReply, //
    },
    edit::{
        Edit,
        EditOutcome, //
    },
    follow::{
        FollowReply,
        FollowRequest, //
    },
    replication::{
        LogMessage,
        Proposal,
        ProposalReply,
        StoreIdentity, //
    },
    status::Status,
};

/// Calls that an instance serves to other instances.
#[tarpc::service]
pub trait Inner {
    /// Returns lines of the audit trail; `None` if this instance is not a store or has no
    /// confirmation from a quorum.
    async fn audit(query: AuditQuery) -> Option<Vec<AuditLine>>;

    /// Heartbeat; returns immediately.
    async fn beat();

    /// Claims an idempotency key; entries only.
    async fn claim(claim: Claim) -> ClaimReply;

    /// Returns all claims for a new holder; `None` if this entry may have missed some.
    async fn claims() -> Option<Vec<ClaimRecord>>;

    /// Accepts or refuses an edit; stores only.
    async fn edit(edit: Edit) -> EditOutcome;

    /// Waits for a limited time for a document newer than the follower's; `None` if this instance
    /// is not a store.
    async fn follow(follow: FollowRequest) -> Option<FollowReply>;

    /// Returns the last versions of a section, oldest first; `None` if this instance is not a store
    /// or has no confirmation from a quorum.
    async fn history(section: Box<str>) -> Option<Vec<SectionVersion>>;

    /// Returns the identity of the store's data folder; `None` if this instance is not a store.
    async fn identify() -> Option<StoreIdentity>;

    /// Returns the latest accepted revision; `None` unless this store is the leader and can confirm
    /// it.
    async fn latest() -> Option<u64>;

    /// Receives a message of the replicated log; stores only.
    async fn log(message: LogMessage);

    /// Decides a proposal if this store is the leader, and refuses it otherwise.
    async fn propose(proposal: Proposal) -> ProposalReply;

    /// Records how the request of a claim ended and returns `true`; entries only.
    async fn settle(claim: Claim, end: ClaimEnd) -> bool;

    /// Returns the status of the instance.
    async fn status() -> Status;

    /// Whether no edit was ever accepted; `None` if unknown. Only a leader that is in contact with a
    /// quorum and has committed its whole log can rule out an accepted edit.
    async fn unused() -> Option<bool>;
}
