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

use crate::{
    adapter::{
        Adapter,
        Packet, //
    },
    entry::Entry, //
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
        Some(to) => send(socket, out, to).await,
        None => Ok(()),
    };
    if let Err(error) = sent {
        entry.decisions.record_io_error(&error);
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

/// Routes a datagram; writes the outgoing one to `out` and returns its destination.
fn route<A: Adapter>(
    entry: &Entry,
    datagram: &[u8],
    port: u16,
    out: &mut Vec<u8>,
) -> Option<SocketAddr> {
    let packet = match A::decode_packet(datagram) {
        Ok(packet) => packet,
        Err(code) => {
            entry.decisions.record_malformed(code);
            return None;
        }
    };
    let mut view = entry.view.borrow_mut();
    let mut random = entry.random.borrow_mut();
    let code = match view.route(entry.clock.now(), &packet, &mut *random) {
        Ok(key) => {
            let endpoint = view.pool().get(key)?;
            entry
                .decisions
                .record_placement(&packet, endpoint, view.version());
            A::encode_forward(datagram, endpoint, out);
            return Some(endpoint.address.into());
        }
        Err(code) => code,
    };
    entry
        .decisions
        .record_refusal(&packet, code, view.version());
    reset::<A>(&packet, code, port, out)
}

/// Resets a flow without a usable endpoint, so that its client does not wait for a timeout.
fn reset<A: Adapter>(
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
            A::encode_reset(packet, out);
            Some(SocketAddrV4::new(*packet.flow.client.ip(), port).into())
        }
        _ => None,
    }
}
