//! News that are still to be passed on.

use std::collections::BTreeMap;

/// Times that a rumour is sent for each doubling of the number of members.
const REPEATS: u32 = 3;

/// Members whose standing is still to be passed on, the least often sent first.
#[derive(Clone, Debug, Default)]
pub struct Rumours {
    sent: BTreeMap<Box<str>, u32>,
}

impl Rumours {
    /// Passes on what is known of a member from now on.
    pub fn add(&mut self, name: &str) {
        self.sent.insert(name.into(), 0);
    }

    /// Takes up to `limit` names for the next message of a view of `members`.
    pub fn take(&mut self, limit: usize, members: usize) -> Vec<Box<str>> {
        let most = REPEATS * (usize::BITS - members.leading_zeros()).max(1);
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
        self.sent.retain(|_, sent| *sent < most);
        names.into_iter().map(|(_, name)| name).collect()
    }
}
