//! Counting the holders' replies to a claim.

use std::rc::Rc;

use crate::claim::{
    ClaimId,
    Reply, //
};

/// The result of a claim.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Verdict {
    /// The key was answered before, and this is the answer.
    Answered(Rc<[u8]>),
    /// The holders cannot store further claims.
    Full,
    /// The request may be sent.
    Granted,
    /// An earlier claim on the key is still pending; the claimant should retry.
    Held(ClaimId),
    /// The key was used for a different request.
    Mismatch,
    /// The key was answered before, but the answer is not stored.
    Ran,
    /// Whether the request ran is not known.
    Unknown,
}

/// Counts the holders' replies to one claim.
#[derive(Clone, Debug)]
pub struct Tally {
    holders: usize,
    full: usize,
    granted: usize,
    held: Option<ClaimId>,
    quorum: usize,
    ran: bool,
    replies: usize,
}

impl Tally {
    /// Creates the tally of a claim that was sent to `holders` holders and needs `quorum` grants.
    pub const fn new(holders: usize, quorum: usize) -> Self {
        Self {
            holders,
            full: 0,
            granted: 0,
            held: None,
            quorum,
            ran: false,
            replies: 0,
        }
    }

    /// Counts a reply; none stands for a holder that timed out. Returns the verdict as soon as it
    /// is final.
    pub fn reply(&mut self, reply: Option<Reply>) -> Option<Verdict> {
        self.replies += 1;
        match reply {
            Some(Reply::Answered(Some(answer))) => return Some(Verdict::Answered(answer)),
            Some(Reply::Answered(None)) => self.ran = true,
            Some(Reply::Full) => self.full += 1,
            Some(Reply::Granted) => self.granted += 1,
            Some(Reply::Held(id)) => self.held = Some(id),
            Some(Reply::Mismatch) => return Some(Verdict::Mismatch),
            Some(Reply::Unknown) | None => {}
        }
        match self.granted {
            granted if granted >= self.quorum => Some(Verdict::Granted),
            _ if self.replies >= self.holders => Some(self.final_verdict()),
            _ => None,
        }
    }

    /// The verdict without a quorum, once every holder has replied or timed out.
    pub fn final_verdict(&self) -> Verdict {
        match &self.held {
            _ if self.ran => Verdict::Ran,
            Some(id) => Verdict::Held(id.clone()),
            None if self.full > 0 => Verdict::Full,
            None => Verdict::Unknown,
        }
    }
}
