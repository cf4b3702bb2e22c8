//! The holders' replies to a claim, counted.

use std::rc::Rc;

use crate::claim::{
    ClaimId,
    Reply, //
};

/// What the replies to a claim come to.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Verdict {
    /// The key was answered before, and this is the answer.
    Answered(Rc<[u8]>),
    /// The holders have no room for further claims.
    Full,
    /// The request may be sent on.
    Granted,
    /// Another claim holds the key; it is to be asked for again.
    Held(ClaimId),
    /// The key was used for another request.
    Mismatch,
    /// The key was answered before, and the answer is not kept.
    Ran,
    /// Whether the request ran is not known.
    Unknown,
}

/// Counts the holders' replies to one claim.
#[derive(Clone, Debug)]
pub struct Vote {
    asked: usize,
    full: usize,
    granted: usize,
    held: Option<ClaimId>,
    quorum: usize,
    ran: bool,
    replies: usize,
}

impl Vote {
    /// Creates the count for a claim that `asked` holders were asked for and that needs `quorum`
    /// grants.
    pub const fn new(asked: usize, quorum: usize) -> Self {
        Self {
            asked,
            full: 0,
            granted: 0,
            held: None,
            quorum,
            ran: false,
            replies: 0,
        }
    }

    /// Takes in a reply; none stands for a holder that did not reply in time. Returns the verdict
    /// as soon as it is certain.
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
            _ if self.replies >= self.asked => Some(self.last()),
            _ => None,
        }
    }

    /// The verdict when every holder has replied or been given up.
    pub fn last(&self) -> Verdict {
        match &self.held {
            _ if self.ran => Verdict::Ran,
            Some(id) => Verdict::Held(id.clone()),
            None if self.full > 0 => Verdict::Full,
            None => Verdict::Unknown,
        }
    }
}
