//! State that all tasks of the process share.

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
    Shutdown,
    epoch_millis, //
};
use replica::Replica;
use settings::Settings;
use store::{
    DataFolder,
    StoreId,
    Timing, //
};
use wire::Addresses;

use crate::{
    auth::Auth,
    claims::Claims,
    connections::Connections,
    convert_member,
    document_sync::DocumentSync,
    error::Error,
    local_view::LocalView,
    metrics::Metrics,
    router::Router,
    service_pools::ServicePools, //
};

/// State that all tasks of the process share. No borrow of a cell is held across an await.
#[derive(Debug)]
pub struct Node {
    /// Addresses at which the instance can be reached.
    pub addresses: Addresses,
    /// Authorisation of requests to the operator API.
    pub auth: Auth,
    /// Notified when the replica has a newer document.
    pub replica_changed: Event,
    /// Claims on idempotency keys, as claimant and as holder.
    pub claims: Rc<Claims>,
    /// Idle connections to endpoints.
    pub connections: Rc<Connections>,
    /// Request pools of all services.
    pub pools: Rc<ServicePools>,
    /// The instance's view of the deployment.
    pub view: Rc<LocalView>,
    /// The metrics.
    pub metrics: Metrics,
    /// Relay of endpoint announcements to other instances.
    pub relay: RefCell<Relay>,
    /// Replica of the configuration; stores only.
    pub replica: Option<RefCell<Replica>>,
    /// Routing of packets.
    pub router: RefCell<Router>,
    /// The settings.
    pub settings: Settings,
    /// Socket for datagrams to other instances; set once at start-up.
    pub socket: OnceCell<Rc<UdpSocket>>,
    /// Distribution of the document to this instance and to followers.
    pub document_sync: DocumentSync,
    /// The graceful shutdown.
    pub shutdown: Rc<Shutdown>,
}

impl Node {
    /// Creates the shared state of a new process and opens the data folder of a store.
    ///
    /// # Errors
    ///
    /// Any error of the data folder, the operator key file or the TLS files.
    pub fn new(
        settings: Settings,
        addresses: Addresses,
    ) -> Result<(Self, Option<DataFolder>), Error> {
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
        let own = convert_member::instance_from_wire(own);
        let members = Members::new(own, &settings.seeds, rand::random());
        let view = Rc::new(LocalView::new(members));
        let metrics = Metrics::new();
        let claims = Claims::new(view.clone(), &settings, metrics.claims_known.clone());
        let router = Router::new(view.clone(), &settings.instance);
        let node = Self {
            addresses,
            auth: Auth::open(&settings)?,
            replica_changed: Event::new(),
            claims: Rc::new(claims),
            connections: Rc::default(),
            pools: Rc::new(ServicePools::new(view.clone())),
            view,
            metrics,
            relay: RefCell::new(Relay::new()),
            replica,
            router: RefCell::new(router),
            settings,
            socket: OnceCell::new(),
            document_sync: DocumentSync::default(),
            shutdown: Rc::default(),
        };
        Ok((node, folder))
    }

    /// Returns the time since the process started.
    pub fn now(&self) -> Duration {
        self.view.now()
    }

    /// Describes the instance as it is sent to others.
    pub fn own_instance(&self) -> wire::Instance {
        convert_member::instance_to_wire(self.view.members.borrow().own())
    }

    /// Whether the instance is ready to serve. A store is ready unless it is shutting down; another
    /// instance also needs a document in force that a quorum of the stores has confirmed since its
    /// start.
    pub fn ready(&self) -> bool {
        let is_store = self.replica.is_some();
        let revision = self.view.configuration.borrow().revision();
        let confirmed = self.document_sync.follower.borrow().confirmed();
        (is_store || (confirmed && revision > 0)) && !self.shutdown.begun()
    }
}
