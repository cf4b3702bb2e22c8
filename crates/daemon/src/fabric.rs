//! The fabric interface: receives packets and forwards them to endpoints and other entries.

use std::{
    net::SocketAddr,
    rc::Rc, //
};

use codes::Code;
use compio::{
    BufResult,
    buf::{
        IntoInner,
        IoBuf, //
    },
    net::UdpSocket, //
};
use steering::{
    Action,
    GRE_BYTES,
    Header,
    InstanceId,
    Steer, //
};
use wire::{
    FlowDatagram,
    HandoverHeader,
    MAX_DATAGRAM_BYTES,
    MAX_HANDOVER_BYTES, //
};

use crate::{
    convert,
    node::Node, //
};

/// A datagram to send.
enum Outgoing {
    /// The received datagram from an offset on.
    Received(SocketAddr, usize),
    /// The content of the scratch buffer.
    Scratch(SocketAddr),
}

/// Position and sender of a received packet.
struct PacketOrigin {
    /// Offset of its encapsulation in the datagram.
    offset: usize,
    /// Address in the fabric that sent it.
    sender: SocketAddr,
}

/// Forwards packets until the process ends.
pub async fn forward(node: Rc<Node>, socket: Rc<UdpSocket>) {
    let mut buffer = Vec::with_capacity(MAX_DATAGRAM_BYTES);
    let mut scratch = Vec::with_capacity(MAX_DATAGRAM_BYTES + MAX_HANDOVER_BYTES);
    loop {
        let BufResult(received, filled) = socket.recv_from(buffer).await;
        buffer = filled;
        let Ok((_, source)) = received else {
            buffer.clear();
            continue;
        };
        match handle_datagram(&node, &buffer, source, &mut scratch) {
            Ok(Some(Outgoing::Received(to, offset))) => {
                let BufResult(sent, slice) = socket.send_to(buffer.slice(offset..), to).await;
                buffer = slice.into_inner();
                if sent.is_ok() {
                    node.metrics.packets.inc();
                }
            }
            Ok(Some(Outgoing::Scratch(to))) => {
                let BufResult(_, returned) = socket.send_to(scratch, to).await;
                scratch = returned;
            }
            Ok(None) => {}
            Err(code) => {
                node.metrics.count_refusal(code);
                log::debug!(code = code.number(); "packet dropped");
            }
        }
        buffer.clear();
    }
}

/// Handles a datagram from the fabric or from another entry.
fn handle_datagram(
    node: &Node,
    datagram: &[u8],
    source: SocketAddr,
    scratch: &mut Vec<u8>,
) -> Result<Option<Outgoing>, Code> {
    // After a pause of the process, this may run before the next tick.
    node.view.directory.borrow_mut().catch_up(node.now());
    if FlowDatagram::is_flow_datagram(datagram) {
        return handle_flow_datagram(node, datagram, source, scratch);
    }
    let action = node.router.borrow_mut().route_packet(datagram)?;
    let origin = PacketOrigin {
        offset: 0,
        sender: source,
    };
    prepare(node, action, datagram, &origin, scratch)
}

/// Handles a datagram from another entry.
fn handle_flow_datagram(
    node: &Node,
    datagram: &[u8],
    source: SocketAddr,
    scratch: &mut Vec<u8>,
) -> Result<Option<Outgoing>, Code> {
    let mut router = node.router.borrow_mut();
    let entry = router
        .sender_entry(source)
        .ok_or(Code::PacketEncapsulation)?;
    match FlowDatagram::decode(datagram).map_err(|error| error.code())? {
        FlowDatagram::Copies(copies) => {
            let copies = convert::copies_from_wire(&copies);
            router.steering.receive_copies(node.now(), entry, &copies);
            Ok(None)
        }
        FlowDatagram::Handover(handover, packet) => {
            let header = convert::header_from_wire(&handover);
            let action = router.route_handover(entry, header, packet)?;
            drop(router);
            let origin = PacketOrigin {
                offset: datagram.len() - packet.len(),
                sender: handover.sender,
            };
            prepare(node, action, datagram, &origin, scratch)
        }
    }
}

/// Converts a decision into the datagram to send.
fn prepare(
    node: &Node,
    action: Action<Header>,
    datagram: &[u8],
    origin: &PacketOrigin,
    scratch: &mut Vec<u8>,
) -> Result<Option<Outgoing>, Code> {
    let packet = datagram.get(origin.offset..).unwrap_or_default();
    match action {
        Action::Drop(code) => Err(code),
        Action::Forward(endpoint) | Action::Hint(endpoint, _) => {
            let address = node.router.borrow().endpoint_address(endpoint);
            let address = address.ok_or(Code::FlowEndpointGone)?;
            Ok(Some(Outgoing::Received(address, origin.offset)))
        }
        Action::HandOver(to, header) => encode_handover(node, to, header, packet, origin, scratch),
        Action::Refuse(code) => {
            node.metrics.count_refusal(code);
            let inner = packet.get(GRE_BYTES..).unwrap_or_default();
            let response = steering::refusal(inner).map_err(steering::Error::code)?;
            Ok(response.map(|response| {
                scratch.clear();
                scratch.extend_from_slice(&response);
                Outgoing::Scratch(origin.sender)
            }))
        }
    }
}

/// Encodes a packet with the header for the next entry.
fn encode_handover(
    node: &Node,
    to: InstanceId,
    header: Header,
    packet: &[u8],
    origin: &PacketOrigin,
    scratch: &mut Vec<u8>,
) -> Result<Option<Outgoing>, Code> {
    let address = node.router.borrow().entry_address(to);
    let address = address.ok_or(Code::InstanceUnreachable)?;
    let handover: HandoverHeader = convert::handover_to_wire(&header, origin.sender);
    handover
        .encode(packet, scratch)
        .map_err(|error| error.code())?;
    node.metrics.handovers.inc();
    Ok(Some(Outgoing::Scratch(address)))
}
