//! Running an entry: its faces, its followers of stores, and its planned stop.

use std::{
    net::{
        SocketAddrV4,
        UdpSocket, //
    },
    path::Path,
    rc::Rc,
    time::Duration, //
};

use compio::{
    net::TcpListener,
    runtime::{
        fd::PollFd,
        spawn, //
    },
};
use placement::Phase;
use process::{
    Handlers,
    Signals, //
};

use crate::{
    border::Border,
    entry::Entry,
    error::Error,
    follow,
    forward::forward,
    metrics::gauge,
    pages,
    ready::Ready,
    reload::until_stop,
    settings::Settings, //
};

/// Time between two looks at what is over.
const TICK: Duration = Duration::from_millis(250);

/// Time from the begin of a stop for which packets are forwarded in any case: until a router has
/// missed two answers and sends its flows elsewhere.
const LEAVE: Duration = Duration::from_millis(1_600);

/// Time without a packet after which no router sends any more.
const QUIET: Duration = Duration::from_millis(600);

/// Part of the time for a stop that is left unused, so that the process ends by itself.
const MARGIN: Duration = Duration::from_millis(800);

/// Runs an entry until its planned stop is done.
pub async fn serve<B: Border>(
    settings: Settings,
    path: &Path,
    handlers: Handlers,
) -> Result<(), Error> {
    let signals = Signals::new(handlers).map_err(Error::Runtime)?;
    let packets = settings.packets.ok_or(Error::Missing("packets"))?;
    let readiness = settings.readiness.ok_or(Error::Missing("readiness"))?;
    let socket = UdpSocket::bind(packets).map_err(Error::Listen)?;
    socket.set_nonblocking(true).map_err(Error::Listen)?;
    let socket = Rc::new(PollFd::new(socket).map_err(Error::Listen)?);
    let listener = TcpListener::bind(readiness).await.map_err(Error::Listen)?;
    let entry = Rc::new(Entry::new(settings));
    log::info!(name = &*entry.settings.name; "an entry has started");
    let port = packets.port();
    spawn(forward::<B>(entry.clone(), socket.clone(), port)).detach();
    spawn(process::serve(
        entry.stop.clone(),
        listener,
        Ready::<B>::new(entry.clone()),
    ))
    .detach();
    pages::expose(entry.clone()).await;
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

async fn tick<B: Border>(entry: Rc<Entry>, socket: Rc<PollFd<UdpSocket>>, port: u16) {
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
            if let Err(error) = socket.send_to(&out, to) {
                entry.decisions.lost(&error);
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
