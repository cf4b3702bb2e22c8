//! An entry: packets of routers in, packets to endpoints and resets to callers out.

use std::{
    cell::{
        Cell,
        RefCell, //
    },
    net::{
        SocketAddr,
        SocketAddrV4, //
    },
    path::Path,
    rc::Rc,
    time::Duration, //
};

use codes::Code;
use compio::{
    BufResult,
    net::{
        TcpListener,
        UdpSocket, //
    },
    runtime::spawn,
};
use placement::Phase;
use process::{
    Handlers,
    Signals,
    Stop, //
};
use rand::SeedableRng as _;
use rand_chacha::ChaCha8Rng;

use crate::{
    border::{
        Border,
        Packet, //
    },
    clock::Clock,
    decisions::Decisions,
    error::Error,
    follow,
    metrics::{
        self,
        Metrics,
        gauge, //
    },
    ready::Ready,
    reload::until_stop,
    settings::Settings,
    view::View, //
};

/// Largest datagram of a router, in bytes: one that fits into a frame of the network.
const DATAGRAM_BYTES: usize = 2048;

/// Time between two looks at what is over.
const TICK: Duration = Duration::from_millis(250);

/// Time beyond an announcement's interval after which an entry that has started knows each endpoint
/// that any store could know.
const LEARN: Duration = Duration::from_secs(1);

/// Time from the begin of a stop for which packets are forwarded in any case: until a router has
/// missed two answers and sends its flows elsewhere.
const LEAVE: Duration = Duration::from_millis(1_600);

/// Time without a packet after which no router sends any more.
const QUIET: Duration = Duration::from_millis(600);

/// Part of the time for a stop that is left unused, so that the process ends by itself.
const MARGIN: Duration = Duration::from_millis(800);

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
    packet: Cell<Duration>,
    random: RefCell<ChaCha8Rng>,
}

impl Entry {
    /// Whether routers may send packets.
    pub fn ready(&self) -> bool {
        !self.stop.begun() && self.view.borrow().ready()
    }
}

/// Runs an entry until its planned stop is done.
pub async fn serve<B: Border>(
    settings: Settings,
    path: &Path,
    handlers: Handlers,
) -> Result<(), Error> {
    let signals = Signals::new(handlers).map_err(Error::Runtime)?;
    let packets = settings.packets.ok_or(Error::Missing("packets"))?;
    let readiness = settings.readiness.ok_or(Error::Missing("readiness"))?;
    let socket = UdpSocket::bind(packets).await.map_err(Error::Listen)?;
    let listener = TcpListener::bind(readiness).await.map_err(Error::Listen)?;
    let entry = Rc::new(Entry {
        clock: Clock::new(),
        decisions: Decisions::new(Metrics::new()),
        packet: Cell::default(),
        random: RefCell::new(ChaCha8Rng::seed_from_u64(rand::random())),
        seeds: RefCell::new(settings.seeded()),
        stop: Rc::default(),
        view: RefCell::new(View::new(&settings.centre, settings.heartbeat() + LEARN)),
        settings,
    });
    log::info!(name = &*entry.settings.name; "an entry has started");
    let socket = Rc::new(socket);
    let port = packets.port();
    spawn(forward::<B>(entry.clone(), socket.clone(), port)).detach();
    spawn(process::serve(
        entry.stop.clone(),
        listener,
        Ready::<B>::new(entry.clone()),
    ))
    .detach();
    let metrics = entry.decisions.metrics.clone();
    metrics::expose(metrics, &entry.settings, &entry.stop).await;
    follow::start::<B>(&entry);
    spawn(tick::<B>(entry.clone(), socket, port)).detach();
    let apply = |settings: Settings| *entry.seeds.borrow_mut() = settings.seeded();
    until_stop(signals, path, apply).await?;
    entry.stop.begin();
    leave(&entry).await;
    log::info!("stopped");
    Ok(())
}

/// Waits until no router sends packets any more, or the time for the stop is nearly over.
async fn leave(entry: &Entry) {
    let begun = entry.clock.now();
    let last = begun + entry.settings.stop().saturating_sub(MARGIN);
    loop {
        compio::time::sleep(TICK).await;
        let now = entry.clock.now();
        let quiet = now.saturating_sub(entry.packet.get()) >= QUIET;
        if now >= last || (quiet && now >= begun + LEAVE) {
            return;
        }
    }
}

async fn tick<B: Border>(entry: Rc<Entry>, socket: Rc<UdpSocket>, port: u16) {
    loop {
        compio::time::sleep(TICK).await;
        let now = entry.clock.now();
        entry.view.borrow_mut().tick(now);
        let orphans = entry.view.borrow_mut().orphans(now);
        for packet in orphans {
            let mut out = Vec::new();
            B::reset(&packet, &mut out);
            entry.decisions.orphaned(&packet);
            let to = SocketAddrV4::new(*packet.flow.caller.ip(), port);
            let BufResult(sent, _) = socket.send_to(out, to).await;
            if let Err(error) = sent {
                entry.decisions.unsent(&error);
            }
        }
        entry.decisions.report(entry.clock.now());
        measure(&entry);
    }
}

/// Brings the gauges up to what the entry knows.
fn measure(entry: &Entry) {
    let (view, metrics) = (entry.view.borrow(), &entry.decisions.metrics);
    metrics.flows.set(gauge(view.pool().flows()));
    metrics
        .version
        .set(i64::try_from(view.version()).unwrap_or(i64::MAX));
    metrics.stores.set(gauge(view.followed()));
    metrics.quorum.set(i64::from(view.current()));
    for (name, phase) in [
        ("draining", Phase::Draining),
        ("gone", Phase::Gone),
        ("ready", Phase::Ready),
        ("silent", Phase::Silent),
    ] {
        let endpoints = view.pool().iter();
        metrics.phase(
            name,
            endpoints.filter(|endpoint| endpoint.phase == phase).count(),
        );
    }
}

/// Forwards packets until the process ends.
async fn forward<B: Border>(entry: Rc<Entry>, socket: Rc<UdpSocket>, port: u16) {
    let mut buffer = Vec::with_capacity(DATAGRAM_BYTES);
    let mut out = Vec::with_capacity(DATAGRAM_BYTES);
    loop {
        let BufResult(received, filled) = socket.recv_from(buffer).await;
        buffer = filled;
        if received.is_ok() {
            entry.packet.set(entry.clock.now());
            entry.decisions.metrics.packets.inc();
            out.clear();
            if let Some(to) = step::<B>(&entry, &buffer, port, &mut out) {
                let BufResult(sent, returned) = socket.send_to(out, to).await;
                out = returned;
                if let Err(error) = sent {
                    entry.decisions.unsent(&error);
                }
            }
        }
        buffer.clear();
    }
}

/// Decides on a datagram, and writes the one that is to be sent.
fn step<B: Border>(
    entry: &Entry,
    datagram: &[u8],
    port: u16,
    out: &mut Vec<u8>,
) -> Option<SocketAddr> {
    let packet = match B::packet(datagram) {
        Ok(packet) => packet,
        Err(code) => {
            entry.decisions.unreadable(code);
            return None;
        }
    };
    let mut view = entry.view.borrow_mut();
    let mut random = entry.random.borrow_mut();
    let code = match view.route(entry.clock.now(), &packet, &mut *random) {
        Ok(key) => {
            let endpoint = view.pool().get(key)?;
            entry.decisions.placed(&packet, endpoint, view.version());
            B::forward(datagram, endpoint, out);
            return Some(endpoint.address.into());
        }
        Err(code) => code,
    };
    entry.decisions.refused(&packet, code, view.version());
    reset::<B>(&packet, code, port, out)
}

/// Resets a flow that no endpoint has or can take, so that its caller needn't wait.
fn reset<B: Border>(
    packet: &Packet,
    code: Code,
    port: u16,
    out: &mut Vec<u8>,
) -> Option<SocketAddr> {
    match code {
        Code::FlowEndpointGone
        | Code::FlowEndpointUnreachable
        | Code::FlowNoEndpoint
        | Code::PacketAddress => {
            B::reset(packet, out);
            Some(SocketAddrV4::new(*packet.flow.caller.ip(), port).into())
        }
        _ => None,
    }
}
