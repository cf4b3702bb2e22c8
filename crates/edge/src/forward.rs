//! Packet forwarding: from routers to endpoints, or back to the client as a reset.

use std::{
    io,
    net::{
        SocketAddr,
        SocketAddrV4,
        UdpSocket, //
    },
    rc::Rc,
    time::Duration, //
};

use codes::Code;
use compio::runtime::fd::PollFd;
use egress::{
    Description,
    Verdict, //
};

use crate::{
    adapter::{
        Adapter,
        Packet, //
    },
    entry::Entry,
    link::{
        Link,
        describe, //
    },
    view::View,
};

/// Largest datagram of a router, in bytes: enough for any that fits into one frame of the network.
const DATAGRAM_BYTES: usize = 2048;

/// Datagrams received in one batch: the other tasks wait for less than a millisecond.
const BATCH: usize = 64;

/// Pause after a failed wait for the socket, so that the other tasks run.
const READY_PAUSE: Duration = Duration::from_millis(10);

/// Forwards packets until the process ends.
///
/// One wait for the socket covers all datagrams that have arrived by then; each takes two system
/// calls.
pub async fn forward<A: Adapter>(entry: Rc<Entry>, socket: Rc<PollFd<UdpSocket>>, port: u16) {
    let mut buffer = [0; DATAGRAM_BYTES];
    let mut out = Vec::with_capacity(DATAGRAM_BYTES);
    loop {
        if let Err(error) = socket.read_ready().await {
            entry.decisions.record_io_error(&error);
            compio::time::sleep(READY_PAUSE).await;
            continue;
        }
        for _ in 0..BATCH {
            match socket.recv(&mut buffer) {
                Ok(length) => {
                    let datagram = buffer.get(..length).unwrap_or_default();
                    handle::<A>(&entry, &socket, datagram, port, &mut out).await;
                }
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => break,
                // A delivery error of an earlier datagram; the next one may succeed.
                Err(error) => entry.decisions.record_io_error(&error),
            }
        }
    }
}

async fn handle<A: Adapter>(
    entry: &Entry,
    socket: &PollFd<UdpSocket>,
    datagram: &[u8],
    port: u16,
    out: &mut Vec<u8>,
) {
    entry.packet_at.set(entry.clock.now());
    entry.decisions.metrics.packets.inc();
    out.clear();
    let sent = match route::<A>(entry, datagram, port, out) {
        Some(description) if leaves_now(entry, description, out) => {
            send(socket, out, description.to).await
        }
        Some(_) | None => Ok(()),
    };
    if let Err(error) = sent {
        entry.decisions.record_io_error(&error);
    }
}

/// Whether a datagram leaves at once; one that does not waits for the link.
fn leaves_now(entry: &Entry, description: Description, out: &[u8]) -> bool {
    let Some(link) = &entry.link else {
        return true;
    };
    match link.offer(entry.clock.now(), description, out) {
        Verdict::Dropped => {
            entry.decisions.metrics.link.dropped.inc();
            false
        }
        Verdict::Queued => false,
        Verdict::Send => true,
    }
}

/// Sends the packets that wait for the link, until the process ends.
pub async fn drain_link(entry: Rc<Entry>, socket: Rc<PollFd<UdpSocket>>) {
    let Some(link) = &entry.link else {
        return;
    };
    loop {
        let listener = link.listen();
        match link.due() {
            Some(due) => compio::time::sleep(due.saturating_sub(entry.clock.now())).await,
            None => listener.await,
        }
        send_due(&entry, link, &socket).await;
    }
}

async fn send_due(entry: &Entry, link: &Link, socket: &PollFd<UdpSocket>) {
    while let Some(departure) = link.next(entry.clock.now()) {
        let now = entry.clock.now();
        if let Some(key) = departure.key {
            entry.view.borrow_mut().record_departure(now, key);
        }
        entry.decisions.metrics.link.observe_wait(departure.waited);
        if let Err(error) = send(socket, &departure.bytes, departure.to).await {
            entry.decisions.record_io_error(&error);
        }
    }
}

/// Sends a datagram, waiting for space in the send buffer if necessary.
async fn send(socket: &PollFd<UdpSocket>, bytes: &[u8], to: SocketAddr) -> io::Result<()> {
    match socket.send_to(bytes, to) {
        Err(error) if error.kind() == io::ErrorKind::WouldBlock => {
            socket.write_ready().await?;
            socket.send_to(bytes, to).map(drop)
        }
        result => result.map(drop),
    }
}

/// Routes a datagram; writes the outgoing one to `out` and returns its description.
fn route<A: Adapter>(
    entry: &Entry,
    datagram: &[u8],
    port: u16,
    out: &mut Vec<u8>,
) -> Option<Description> {
    let packet = match A::decode_packet(datagram) {
        Ok(packet) => packet,
        Err(code) => {
            entry.decisions.record_malformed(code);
            return None;
        }
    };
    let now = entry.clock.now();
    if let Some(link) = &entry.link {
        link.record_received(now, &packet);
        if link.repeats(now, &packet) {
            entry.decisions.metrics.link.repeats.inc();
            return None;
        }
    }
    let mut view = entry.view.borrow_mut();
    if let Some(at) = entry.link.as_ref().and_then(Link::congested_at) {
        view.record_congestion(at);
    }
    let mut random = entry.random.borrow_mut();
    let routed = match admits(entry, &view, &packet) {
        true => view.route(now, &packet, &mut *random),
        false => Err(Code::EntryLinkFull),
    };
    let code = match routed {
        Ok(key) => {
            let endpoint = view.pool().get(key)?;
            entry
                .decisions
                .record_placement(&packet, endpoint, view.version());
            A::encode_forward(datagram, endpoint, out);
            let class = view.class(&packet.flow);
            return Some(describe(&packet, class, endpoint.address.into()));
        }
        Err(code) => code,
    };
    entry
        .decisions
        .record_refusal(&packet, code, view.version());
    let to = reset::<A>(&packet, code, port, out)?;
    Some(Description::reset(to))
}

/// Whether the entry's link, if it is narrow, bears the flow that a packet opens. A flow whose
/// first packet has passed is never refused: its request may run.
fn admits(entry: &Entry, view: &View, packet: &Packet) -> bool {
    let (class, objective) = (view.class(&packet.flow), view.objective(&packet.flow));
    let link = entry.link.as_ref();
    link.is_none_or(|link| link.admits(packet, class, objective) || view.pool().knows(&packet.flow))
}

/// Resets a flow without a usable endpoint, so that its client does not wait for a timeout.
fn reset<A: Adapter>(
    packet: &Packet,
    code: Code,
    port: u16,
    out: &mut Vec<u8>,
) -> Option<SocketAddr> {
    match code {
        Code::EntryLinkFull
        | Code::FlowEndpointGone
        | Code::FlowEndpointUnreachable
        | Code::FlowNoEndpoint
        | Code::FlowSlowStart
        | Code::PacketAddress => {
            A::encode_reset(packet, out);
            Some(SocketAddrV4::new(*packet.flow.client.ip(), port).into())
        }
        _ => None,
    }
}
