//! The way of a packet: from a router in, to an endpoint or as a reset to its caller out.

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
    border::{
        Border,
        Packet, //
    },
    entry::Entry, //
};

/// Largest datagram of a router, in bytes: one that fits into a frame of the network.
const DATAGRAM_BYTES: usize = 2048;

/// Datagrams that are taken in one turn: the other tasks wait for less than a millisecond.
const BATCH: usize = 64;

/// Pause after a failure to wait for the socket, so that the other tasks run.
const READY_PAUSE: Duration = Duration::from_millis(10);

/// Forwards packets until the process ends.
///
/// One wait for the socket serves all datagrams that have come by then, each with two system calls.
pub async fn forward<B: Border>(entry: Rc<Entry>, socket: Rc<PollFd<UdpSocket>>, port: u16) {
    let mut buffer = [0; DATAGRAM_BYTES];
    let mut out = Vec::with_capacity(DATAGRAM_BYTES);
    loop {
        if let Err(error) = socket.read_ready().await {
            entry.decisions.lost(&error);
            compio::time::sleep(READY_PAUSE).await;
            continue;
        }
        for _ in 0..BATCH {
            match socket.recv(&mut buffer) {
                Ok(length) => {
                    let datagram = buffer.get(..length).unwrap_or_default();
                    take::<B>(&entry, &socket, datagram, port, &mut out).await;
                }
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => break,
                // What an earlier datagram met on its way; the next one may get through.
                Err(error) => entry.decisions.lost(&error),
            }
        }
    }
}

async fn take<B: Border>(
    entry: &Entry,
    socket: &PollFd<UdpSocket>,
    datagram: &[u8],
    port: u16,
    out: &mut Vec<u8>,
) {
    entry.packet.set(entry.clock.now());
    entry.decisions.metrics.packets.inc();
    out.clear();
    let sent = match step::<B>(entry, datagram, port, out) {
        Some(to) => send(socket, out, to).await,
        None => Ok(()),
    };
    if let Err(error) = sent {
        entry.decisions.lost(&error);
    }
}

/// Sends a datagram, once there is room for it.
async fn send(socket: &PollFd<UdpSocket>, bytes: &[u8], to: SocketAddr) -> io::Result<()> {
    match socket.send_to(bytes, to) {
        Err(error) if error.kind() == io::ErrorKind::WouldBlock => {
            socket.write_ready().await?;
            socket.send_to(bytes, to).map(drop)
        }
        result => result.map(drop),
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
