//! Queue of rumours to piggyback on outgoing messages.

use std::collections::BTreeMap;

/// Number of times that a rumour is sent for each doubling of the number of members.
const RETRANSMIT_MULTIPLIER: u32 = 3;

/// Members whose standing is still to be gossiped, with the number of times it was sent.
#[derive(Clone, Debug, Default)]
pub struct Rumours {
    sent: BTreeMap<Box<str>, u32>,
}

impl Rumours {
    /// Queues the rumour of a member, or resets its count.
    pub fn add(&mut self, name: &str) {
        self.sent.insert(name.into(), 0);
    }

    /// Up to `limit` names for the next message, least often sent first; `members` is the size of
    /// the view.
    pub fn take(&mut self, limit: usize, members: usize) -> Vec<Box<str>> {
        let max_sent = RETRANSMIT_MULTIPLIER * (usize::BITS - members.leading_zeros()).max(1);
        let mut names: Vec<_> = self
            .sent
            .iter()
            .map(|(name, sent)| (*sent, name.clone()))
            .collect();
        names.sort();
        names.truncate(limit);
        for (_, name) in &names {
            if let Some(sent) = self.sent.get_mut(name) {
                *sent += 1;
            }
        }
        self.sent.retain(|_, sent| *sent < max_sent);
        names.into_iter().map(|(_, name)| name).collect()
    }
}
