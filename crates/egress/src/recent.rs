//! Packets that have left not long ago.

use std::{
    collections::VecDeque,
    time::Duration, //
};

use hashbrown::HashMap;

use crate::packet::PacketKey;

/// Time after a packet has left in which a retransmission of it is dropped: the client sent that
/// before an acknowledgement could reach it.
const RETENTION: Duration = Duration::from_millis(60);

/// Packets that have left not long ago.
#[derive(Clone, Debug, Default)]
pub(crate) struct Recent {
    left: HashMap<PacketKey, Duration>,
    order: VecDeque<(Duration, PacketKey)>,
}

impl Recent {
    pub fn insert(&mut self, now: Duration, key: PacketKey) {
        self.expire(now);
        self.left.insert(key, now);
        self.order.push_back((now, key));
    }

    pub fn contains(&self, now: Duration, key: &PacketKey) -> bool {
        let left = self.left.get(key);
        left.is_some_and(|left| now.saturating_sub(*left) < RETENTION)
    }

    fn expire(&mut self, now: Duration) {
        while let Some((left, key)) = self.order.front().copied()
            && now.saturating_sub(left) >= RETENTION
        {
            self.order.pop_front();
            if self.left.get(&key) == Some(&left) {
                self.left.remove(&key);
            }
        }
    }
}
