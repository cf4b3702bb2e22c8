//! What the tasks of an entry share.

use std::{
    cell::{
        Cell,
        RefCell, //
    },
    net::SocketAddrV4,
    rc::Rc,
    time::Duration, //
};

use process::Stop;
use rand::SeedableRng as _;
use rand_chacha::ChaCha8Rng;

use crate::{
    clock::Clock,
    decisions::Decisions,
    metrics::Metrics,
    place::Place,
    settings::Settings,
    view::View, //
};

/// Time beyond an announcement's interval after which an entry that has started knows each endpoint
/// that any store could know.
const LEARN: Duration = Duration::from_secs(1);

/// What the tasks of an entry share. No borrow is held across an await.
#[derive(Debug)]
pub struct Entry {
    pub clock: Clock,
    pub decisions: Decisions,
    /// Inner addresses of the stores that the settings name.
    pub seeds: RefCell<Vec<SocketAddrV4>>,
    pub settings: Settings,
    pub stop: Rc<Stop>,
    pub view: RefCell<View>,
    /// When the last packet came.
    pub packet: Cell<Duration>,
    pub random: RefCell<ChaCha8Rng>,
}

impl Entry {
    /// Creates the state of an entry that knows nobody yet.
    pub fn new(settings: Settings) -> Self {
        let place = Place::new(&settings.centre).with_regions(settings.regions.clone());
        Self {
            clock: Clock::new(),
            decisions: Decisions::new(Metrics::new()),
            packet: Cell::default(),
            random: RefCell::new(ChaCha8Rng::seed_from_u64(rand::random())),
            seeds: RefCell::new(settings.seeded()),
            stop: Rc::default(),
            view: RefCell::new(View::new(place, settings.heartbeat() + LEARN)),
            settings,
        }
    }

    /// Whether routers may send packets.
    pub fn ready(&self) -> bool {
        !self.stop.begun() && self.view.borrow().ready()
    }
}
