//! Startup, main loop and graceful shutdown of an entry.

use std::{
    net::{
        SocketAddrV4,
        UdpSocket, //
    },
    path::Path,
    rc::Rc,
    time::Duration, //
};

use compio::runtime::{
    fd::PollFd,
    spawn, //
};
use placement::Phase;
use process::{
    SignalHandlers,
    Signals, //
};

use crate::{
    adapter::Adapter,
    admin,
    calls,
    entry::Entry,
    error::Error,
    follow,
    forward::{
        drain_link,
        forward, //
    },
    metrics::gauge,
    readiness::ReadinessHandler,
    reload::reload_until_stop,
    settings::Settings,
    sockets::listen, //
};

/// Interval of timer work.
const TICK_INTERVAL: Duration = Duration::from_millis(250);

/// Shortest time for which packets are still forwarded during a graceful shutdown: until two
/// readiness checks of a router have failed and it sends its flows elsewhere.
const DRAIN_TIME: Duration = Duration::from_millis(1_600);

/// Time without a packet after which all routers count as having stopped sending.
const QUIET_TIME: Duration = Duration::from_millis(600);

/// Part of the shutdown time that is left unused, so that the process ends before it is killed.
const KILL_MARGIN: Duration = Duration::from_millis(800);

/// Runs an entry until its graceful shutdown is complete.
pub async fn serve<A: Adapter>(
    settings: Settings,
    path: &Path,
    handlers: SignalHandlers,
) -> Result<(), Error> {
    let signals = Signals::new(handlers).map_err(Error::Runtime)?;
    let packets = settings.packets.ok_or(Error::Missing("packets"))?;
    let readiness = settings.readiness.ok_or(Error::Missing("readiness"))?;
    let socket = UdpSocket::bind(packets).map_err(Error::Listen)?;
    socket.set_nonblocking(true).map_err(Error::Listen)?;
    let socket = Rc::new(PollFd::new(socket).map_err(Error::Listen)?);
    let listener = listen(readiness).map_err(Error::Listen)?;
    let entry = Rc::new(Entry::new(settings));
    log::info!(name = &*entry.settings.name; "an entry has started");
    let port = packets.port();
    spawn(forward::<A>(entry.clone(), socket.clone(), port)).detach();
    spawn(drain_link(entry.clone(), socket.clone())).detach();
    spawn(process::serve(
        entry.shutdown.clone(),
        listener,
        ReadinessHandler::<A>::new(entry.clone()),
    ))
    .detach();
    admin::serve(entry.clone());
    spawn(calls::receive_calls(entry.clone())).detach();
    follow::start::<A>(&entry);
    spawn(tick::<A>(entry.clone(), socket, port)).detach();
    let apply = |settings: Settings| *entry.seeds.borrow_mut() = settings.seed_addresses();
    reload_until_stop(signals, path, apply).await?;
    entry.shutdown.begin();
    drain(&entry).await;
    log::info!("stopped");
    Ok(())
}

/// Waits until no router sends packets any more, or the shutdown time has nearly passed.
async fn drain(entry: &Entry) {
    let start = entry.clock.now();
    let deadline = start + entry.settings.stop().saturating_sub(KILL_MARGIN);
    loop {
        compio::time::sleep(TICK_INTERVAL).await;
        let now = entry.clock.now();
        let quiet = now.saturating_sub(entry.packet_at.get()) >= QUIET_TIME;
        if now >= deadline || (quiet && now >= start + DRAIN_TIME) {
            return;
        }
    }
}

async fn tick<A: Adapter>(entry: Rc<Entry>, socket: Rc<PollFd<UdpSocket>>, port: u16) {
    loop {
        compio::time::sleep(TICK_INTERVAL).await;
        let now = entry.clock.now();
        entry
            .view
            .borrow_mut()
            .tick(now, &mut *entry.random.borrow_mut());
        let orphans = entry.view.borrow_mut().orphans(now);
        for packet in orphans {
            let mut out = Vec::new();
            A::encode_reset(&packet, &mut out);
            entry.decisions.record_orphan(&packet);
            let to = SocketAddrV4::new(*packet.flow.client.ip(), port);
            if let Err(error) = socket.send_to(&out, to) {
                entry.decisions.record_io_error(&error);
            }
        }
        let assessments = entry.view.borrow_mut().assess(now);
        for assessment in &assessments {
            entry.decisions.record_assessment(assessment);
        }
        entry.decisions.flush_omitted(entry.clock.now());
        update_gauges(&entry);
    }
}

fn update_gauges(entry: &Entry) {
    let (view, metrics) = (entry.view.borrow(), &entry.decisions.metrics);
    metrics.flows.set(gauge(view.pool().flows()));
    metrics
        .version
        .set(i64::try_from(view.version()).unwrap_or(i64::MAX));
    metrics.stores.set(gauge(view.followed_stores()));
    let now = entry.clock.now();
    let pushed = entry.pushed.iter().map(|pushed| {
        let (store, at) = pushed.get()?;
        Some((store, now.saturating_sub(at)))
    });
    metrics.set_followed(pushed);
    metrics.quorum.set(i64::from(view.current()));
    if let Some(link) = &entry.link {
        metrics.link.bytes.set(gauge(link.bytes()));
        metrics.link.rate.set(link.rate());
    }
    let pool = view.pool();
    metrics
        .warmup
        .update(pool.warmup_count(), pool.limited(now));
    metrics.evacuations.set(view.evacuated());
    if entry.settings.learn {
        let known = pool.iter().filter(|endpoint| endpoint.is_known(now));
        metrics.performance.known.set(gauge(known.count()));
        let poor = pool.iter().filter(|endpoint| endpoint.is_poor());
        metrics.performance.poor.set(gauge(poor.count()));
    }
    let [mut draining, mut gone, mut ready, mut silent] = [0; 4];
    for endpoint in view.pool().iter() {
        match endpoint.phase {
            Phase::Draining => draining += 1,
            Phase::Gone => gone += 1,
            Phase::Ready => ready += 1,
            Phase::Silent => silent += 1,
        }
    }
    metrics.set_endpoints("draining", draining);
    metrics.set_endpoints("gone", gone);
    metrics.set_endpoints("ready", ready);
    metrics.set_endpoints("silent", silent);
}
