//! The face towards the fabric: packets in, packets out to endpoints and other entries.

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
    Handover,
    MAX_DATAGRAM_BYTES,
    MAX_HANDOVER_BYTES, //
};

use crate::{
    convert,
    node::Node, //
};

/// A datagram that is to be sent.
enum Step {
    /// The received bytes from an offset on.
    Rest(SocketAddr, usize),
    /// The bytes in the scratch buffer.
    Scratch(SocketAddr),
}

/// What is known of a received packet.
struct Received {
    /// Where its encapsulation starts in the datagram.
    offset: usize,
    /// Where the fabric sent it from.
    sender: SocketAddr,
}

/// Forwards packets until the process ends.
pub async fn forward(node: Rc<Node>, socket: Rc<UdpSocket>) {
    let mut buffer = Vec::with_capacity(MAX_DATAGRAM_BYTES);
    let mut scratch = Vec::with_capacity(MAX_DATAGRAM_BYTES + MAX_HANDOVER_BYTES);
    loop {
        let BufResult(received, filled) = socket.recv_from(buffer).await;
        buffer = filled;
        let Ok((_, from)) = received else {
            buffer.clear();
            continue;
        };
        match take(&node, &buffer, from, &mut scratch) {
            Ok(Some(Step::Rest(to, offset))) => {
                let BufResult(sent, slice) = socket.send_to(buffer.slice(offset..), to).await;
                buffer = slice.into_inner();
                if sent.is_ok() {
                    node.metrics.packets.inc();
                }
            }
            Ok(Some(Step::Scratch(to))) => {
                let BufResult(_, returned) = socket.send_to(scratch, to).await;
                scratch = returned;
            }
            Ok(None) => {}
            Err(code) => {
                node.metrics.refuse(code);
                log::debug!(code = code.number(); "packet dropped");
            }
        }
        buffer.clear();
    }
}

/// Decides on a datagram.
fn take(
    node: &Node,
    datagram: &[u8],
    from: SocketAddr,
    scratch: &mut Vec<u8>,
) -> Result<Option<Step>, Code> {
    // After a pause this may run before the next tick.
    node.known.directory.borrow_mut().catch_up(node.now());
    if FlowDatagram::recognises(datagram) {
        return take_flows(node, datagram, from, scratch);
    }
    let action = node.router.borrow_mut().packet(datagram)?;
    let received = Received {
        offset: 0,
        sender: from,
    };
    act(node, action, datagram, &received, scratch)
}

/// Takes in a datagram of another entry.
fn take_flows(
    node: &Node,
    datagram: &[u8],
    from: SocketAddr,
    scratch: &mut Vec<u8>,
) -> Result<Option<Step>, Code> {
    let mut router = node.router.borrow_mut();
    let entry = router.heard(from).ok_or(Code::PacketEncapsulation)?;
    match FlowDatagram::decode(datagram).map_err(|error| error.code())? {
        FlowDatagram::Copies(copies) => {
            let copies = convert::copies(&copies);
            router.machine.copied(node.now(), entry, &copies);
            Ok(None)
        }
        FlowDatagram::Handover(handover, packet) => {
            let header = convert::header(&handover);
            let action = router.handed(entry, header, packet)?;
            drop(router);
            let received = Received {
                offset: datagram.len() - packet.len(),
                sender: handover.sender,
            };
            act(node, action, datagram, &received, scratch)
        }
    }
}

/// Turns a decision into the datagram to be sent.
fn act(
    node: &Node,
    action: Action<Header>,
    datagram: &[u8],
    received: &Received,
    scratch: &mut Vec<u8>,
) -> Result<Option<Step>, Code> {
    let packet = datagram.get(received.offset..).unwrap_or_default();
    match action {
        Action::Drop(code) => Err(code),
        Action::Forward(endpoint) | Action::Hint(endpoint, _) => {
            let address = node.router.borrow().address(endpoint);
            let address = address.ok_or(Code::FlowEndpointGone)?;
            Ok(Some(Step::Rest(address, received.offset)))
        }
        Action::Pass(to, header) => hand(node, to, header, packet, received, scratch),
        Action::Refuse(code) => {
            node.metrics.refuse(code);
            let inner = packet.get(GRE_BYTES..).unwrap_or_default();
            let answer = steering::refusal(inner).map_err(steering::Error::code)?;
            Ok(answer.map(|answer| {
                scratch.clear();
                scratch.extend_from_slice(&answer);
                Step::Scratch(received.sender)
            }))
        }
    }
}

/// Puts a packet together with the header for the next entry.
fn hand(
    node: &Node,
    to: InstanceId,
    header: Header,
    packet: &[u8],
    received: &Received,
    scratch: &mut Vec<u8>,
) -> Result<Option<Step>, Code> {
    let face = node.router.borrow().face(to);
    let face = face.ok_or(Code::InstanceUnreachable)?;
    let handover: Handover = convert::handover(&header, received.sender);
    handover
        .encode(packet, scratch)
        .map_err(|error| error.code())?;
    node.metrics.handovers.inc();
    Ok(Some(Step::Scratch(face)))
}
