//! The face towards the fabric: packets in, packets out to endpoints.

use std::{
    net::SocketAddr,
    rc::Rc, //
};

use codes::Code;
use compio::{
    BufResult,
    net::UdpSocket, //
};
use directory::State;
use steering::{
    Packet,
    Payload, //
};
use wire::MAX_DATAGRAM_BYTES;

use crate::node::Node;

/// Forwards packets until the process ends.
pub async fn forward(node: Rc<Node>, socket: UdpSocket) {
    let mut buffer = Vec::with_capacity(MAX_DATAGRAM_BYTES);
    loop {
        let BufResult(received, filled) = socket.recv_from(buffer).await;
        buffer = filled;
        if received.is_err() {
            buffer.clear();
            continue;
        }
        match decide(&node, &buffer) {
            Ok(address) => {
                let BufResult(sent, returned) = socket.send_to(buffer, address).await;
                buffer = returned;
                if sent.is_ok() {
                    node.metrics.packets.inc();
                }
            }
            Err(code) => {
                node.metrics.refuse(code);
                log::debug!(code = code.number(); "packet dropped");
            }
        }
        buffer.clear();
    }
}

/// Decides which endpoint takes a datagram from the fabric.
fn decide(node: &Node, datagram: &[u8]) -> Result<SocketAddr, Code> {
    let payload = Payload::new(datagram).map_err(steering::Error::code)?;
    let packet = Packet::parse(payload.0).map_err(steering::Error::code)?;
    let configuration = node.configuration.borrow();
    let service = configuration
        .by_destination(&packet.flow.destination)
        .ok_or(Code::PacketAddress)?;
    let directory = node.directory.borrow();
    let candidates = directory
        .iter()
        .map(|(_, endpoint)| endpoint)
        .filter(|endpoint| {
            endpoint.service == service.name
                && endpoint.state == State::Ready
                && service.allows(&endpoint.name)
        })
        .map(|endpoint| (&*endpoint.name, endpoint.address));
    steering::choose(packet.flow, candidates).ok_or(Code::FlowNoEndpoint)
}
