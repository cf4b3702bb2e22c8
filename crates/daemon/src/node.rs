//! What all tasks of the process share.

use std::{
    cell::{
        OnceCell,
        RefCell, //
    },
    rc::Rc,
    time::Duration, //
};

use compio::net::UdpSocket;
use directory::Relay;
use event_listener::Event;
use membership::Members;
use process::{
    Stop,
    epoch_millis, //
};
use replica::Replica;
use settings::Settings;
use store::{
    Folder,
    StoreId,
    Timing, //
};
use wire::Addresses;

use crate::{
    auth::Auth,
    claims::Claims,
    connections::Connections,
    convert_member,
    error::Error,
    known::Known,
    metrics::Metrics,
    router::Router,
    services::Services,
    spread::Spread, //
};

/// What all tasks of the process share. No borrow of a cell is held across an await.
#[derive(Debug)]
pub struct Node {
    /// Where the instance is reached.
    pub addresses: Addresses,
    /// Who may call the operators' interface.
    pub auth: Auth,
    /// Notified when the replica has changed.
    pub changed: Event,
    /// This entry's part in the claims on idempotency keys.
    pub claims: Rc<Claims>,
    /// Idle connections to endpoints.
    pub connections: Rc<Connections>,
    /// The requests that run.
    pub dispatch: Rc<Services>,
    /// What the instance knows of its deployment.
    pub known: Rc<Known>,
    /// The metrics.
    pub metrics: Metrics,
    /// What passes announcements on.
    pub relay: RefCell<Relay>,
    /// The replica of the configuration; stores only.
    pub replica: Option<RefCell<Replica>>,
    /// The steering of flows.
    pub router: RefCell<Router>,
    /// The settings.
    pub settings: Settings,
    /// The socket for datagrams to other instances; set once at the start.
    pub socket: OnceCell<Rc<UdpSocket>>,
    /// The document's way to this instance.
    pub spread: Spread,
    /// The planned stop.
    pub stop: Rc<Stop>,
}

impl Node {
    /// Creates what the tasks of a new process share, and the data folder of a store.
    ///
    /// # Errors
    ///
    /// Any failure of the data folder.
    pub fn new(settings: Settings, addresses: Addresses) -> Result<(Self, Option<Folder>), Error> {
        let (replica, folder) = match &settings.data {
            Some(path) => {
                let (replica, folder) =
                    Replica::open(path, StoreId(rand::random()), Timing::new())?;
                (Some(RefCell::new(replica)), Some(folder))
            }
            None => (None, None),
        };
        let incarnation = epoch_millis();
        let own = wire::Instance {
            addresses,
            centre: settings.instance.centre.clone(),
            incarnation,
            name: settings.instance.name.clone(),
            refutation: 0,
            store: replica.is_some(),
        };
        let own = convert_member::instance(own);
        let members = Members::new(own, &settings.seeds, rand::random());
        let known = Rc::new(Known::new(members));
        let metrics = Metrics::new();
        let claims = Claims::new(known.clone(), &settings, metrics.claims.clone());
        let router = Router::new(known.clone(), &settings.instance);
        let node = Self {
            addresses,
            auth: Auth::open(&settings)?,
            changed: Event::new(),
            claims: Rc::new(claims),
            connections: Rc::default(),
            dispatch: Rc::new(Services::new(known.clone())),
            known,
            metrics,
            relay: RefCell::new(Relay::new()),
            replica,
            router: RefCell::new(router),
            settings,
            socket: OnceCell::new(),
            spread: Spread::default(),
            stop: Rc::default(),
        };
        Ok((node, folder))
    }

    /// Time since the process started.
    pub fn now(&self) -> Duration {
        self.known.now()
    }

    /// The instance as others are told of it.
    pub fn describe(&self) -> wire::Instance {
        convert_member::described(self.known.members.borrow().own())
    }

    /// Whether the instance can serve: it has a document in force that a quorum of the stores
    /// confirmed after its start, and is not stopping.
    pub fn ready(&self) -> bool {
        let stored = self.replica.is_some();
        let revision = self.known.configuration.borrow().revision();
        let confirmed = self.spread.follower.borrow().confirmed();
        (stored || (confirmed && revision > 0)) && !self.stop.begun()
    }
}
