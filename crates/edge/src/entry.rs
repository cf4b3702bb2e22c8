//! State shared by the tasks of an entry.

use std::{
    cell::{
        Cell,
        RefCell, //
    },
    net::SocketAddrV4,
    rc::Rc,
    time::Duration, //
};

use event_listener::Event;
use process::Shutdown;
use rand::SeedableRng as _;
use rand_chacha::ChaCha8Rng;

use crate::{
    clock::Clock,
    decisions::Decisions,
    link::Link,
    locality::Locality,
    metrics::Metrics,
    settings::Settings,
    view::{
        FOLLOWED_STORES,
        View, //
    },
};

/// Margin beyond the heartbeat interval after which a started entry has received each endpoint
/// known to any store.
const LEARNING_MARGIN: Duration = Duration::from_secs(1);

/// State shared by the tasks of an entry. No borrow is held across an await.
#[derive(Debug)]
pub struct Entry {
    /// Notified when a store calls while no store is followed.
    pub call: Event,
    /// The store that called last.
    pub called: Cell<Option<SocketAddrV4>>,
    pub clock: Clock,
    pub decisions: Decisions,
    /// The instance's link; none if packets need not wait for it.
    pub link: Option<Link>,
    /// Internal addresses of the seed stores.
    pub seeds: RefCell<Vec<SocketAddrV4>>,
    pub settings: Settings,
    pub shutdown: Rc<Shutdown>,
    pub view: RefCell<View>,
    /// The followed store of each slot, and when its last push arrived.
    pub pushed: [Cell<Option<(SocketAddrV4, Duration)>>; FOLLOWED_STORES],
    /// When the last packet arrived.
    pub packet_at: Cell<Duration>,
    pub random: RefCell<ChaCha8Rng>,
}

impl Entry {
    /// Creates the state of an entry without known stores and endpoints.
    pub fn new(settings: Settings) -> Self {
        let address = settings.advertised_address();
        let learning_until = settings.heartbeat() + LEARNING_MARGIN;
        let locality = Locality::new(&settings.centre).with_regions(settings.regions.clone());
        let view = View::new(locality, learning_until).with_address(address);
        let view = match settings.learn {
            true => view.with_learning(),
            false => view,
        };
        Self {
            call: Event::new(),
            called: Cell::default(),
            clock: Clock::new(),
            decisions: Decisions::new(Metrics::new()),
            link: settings.link.and_then(Link::new),
            packet_at: Cell::default(),
            pushed: Default::default(),
            random: RefCell::new(ChaCha8Rng::seed_from_u64(rand::random())),
            seeds: RefCell::new(settings.seed_addresses()),
            shutdown: Rc::default(),
            view: RefCell::new(view),
            settings,
        }
    }

    /// Records a push of the store that a slot follows, or that it follows none.
    pub fn record_push(&self, slot: usize, store: Option<SocketAddrV4>) {
        if let Some(pushed) = self.pushed.get(slot) {
            pushed.set(store.map(|store| (store, self.clock.now())));
        }
    }

    /// Records bytes that the process sends besides the clients' packets.
    pub fn charge_link(&self, bytes: usize) {
        if let Some(link) = &self.link {
            link.charge(self.clock.now(), bytes);
        }
    }

    /// Whether the entry is ready for packets of routers.
    pub fn ready(&self) -> bool {
        !self.shutdown.begun() && self.view.borrow().ready()
    }
}
