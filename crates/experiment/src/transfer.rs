//! The packets of a request on their way to its endpoint.

use crate::packet;

/// Packets that may be on their way at once.
const WINDOW: usize = 16;

/// Packets that the endpoint acknowledges together.
const ACKNOWLEDGED_TOGETHER: usize = 2;

/// The packets of a request on their way to its endpoint.
#[derive(Clone, Debug)]
pub(crate) struct Transfer {
    /// Packets that the client knows to have arrived, from the first on.
    acknowledged: usize,
    /// Whether each packet has arrived.
    arrived: Vec<bool>,
    /// Packets that the client has sent.
    sent: usize,
    /// Packets that have arrived since the last acknowledgement.
    unacknowledged: usize,
}

impl Transfer {
    /// Creates the transfer of a request with a body of some bytes.
    pub fn new(body: u32) -> Self {
        Self {
            acknowledged: 0,
            arrived: vec![false; packet::packets(body)],
            sent: 0,
            unacknowledged: 0,
        }
    }

    /// The number of the packet that the client may send next.
    pub fn next(&mut self) -> Option<usize> {
        let number = self.sent;
        let open = number < self.arrived.len() && number < self.acknowledged + WINDOW;
        open.then(|| {
            self.sent += 1;
            number
        })
    }

    /// Records a packet that has arrived; returns how many the endpoint acknowledges, if it does.
    pub fn arrive(&mut self, number: usize) -> Option<usize> {
        let again = self.has_arrived(number);
        if let Some(arrived) = self.arrived.get_mut(number) {
            *arrived = true;
        }
        self.unacknowledged += 1;
        let due = self.unacknowledged >= ACKNOWLEDGED_TOGETHER;
        (due || again || self.is_complete()).then(|| {
            self.unacknowledged = 0;
            self.arrived.iter().take_while(|arrived| **arrived).count()
        })
    }

    /// Records an acknowledgement that has reached the client.
    pub fn acknowledge(&mut self, count: usize) {
        self.acknowledged = self.acknowledged.max(count);
    }

    /// Whether the client knows that a packet has arrived.
    pub const fn is_acknowledged(&self, number: usize) -> bool {
        number < self.acknowledged
    }

    /// Whether all packets have arrived.
    pub fn is_complete(&self) -> bool {
        self.arrived.iter().all(|arrived| *arrived)
    }

    /// Whether a packet has arrived.
    pub fn has_arrived(&self, number: usize) -> bool {
        self.arrived.get(number).copied().unwrap_or_default()
    }

    /// Packets that have not arrived.
    pub fn missing(&self) -> usize {
        self.arrived.iter().filter(|arrived| !**arrived).count()
    }
}
