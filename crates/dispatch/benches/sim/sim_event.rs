//! Events of a simulation.

/// An event of a simulation.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum SimEvent {
    Answer {
        entry: u32,
        request: u64,
    },
    Arrive {
        entry: u32,
        request: u64,
    },
    Crash,
    Exchange,
    Finish {
        endpoint: u32,
        request: u64,
        run: u64,
    },
    Deliver {
        endpoint: u32,
        entry: u32,
        request: u64,
    },
    Report,
    Shed {
        entry: u32,
        request: u64,
    },
    Tick {
        entry: u32,
    },
    PeerLoad {
        counts: Vec<(u32, u16)>,
        entry: u32,
        peer: u32,
        waiting: u32,
    },
}
