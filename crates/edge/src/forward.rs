//! The way of a packet: from a router in, to an endpoint or as a reset to its caller out.

use std::{
    net::{
        SocketAddr,
        SocketAddrV4, //
    },
    rc::Rc,
};

use codes::Code;
use compio::{
    BufResult,
    net::UdpSocket, //
};

use crate::{
    border::{
        Border,
        Packet, //
    },
    entry::Entry, //
};

/// Largest datagram of a router, in bytes: one that fits into a frame of the network.
const DATAGRAM_BYTES: usize = 2048;

/// Forwards packets until the process ends.
pub async fn forward<B: Border>(entry: Rc<Entry>, socket: Rc<UdpSocket>, port: u16) {
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
