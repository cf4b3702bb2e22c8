//! What comes to pass in a run.

/// What comes to pass next.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum Happening {
    Answer {
        entry: u32,
        request: u64,
    },
    Arrive {
        entry: u32,
        request: u64,
    },
    Die,
    Exchange,
    Finish {
        endpoint: u32,
        request: u64,
        run: u64,
    },
    Reach {
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
    Told {
        counts: Vec<(u32, u16)>,
        entry: u32,
        peer: u32,
        waiting: u32,
    },
}
