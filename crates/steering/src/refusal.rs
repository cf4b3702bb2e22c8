//! Replies to refused packets.

use std::net::IpAddr;

use etherparse::{
    Icmpv4Type,
    Icmpv6Type,
    IpHeaders,
    IpNumber,
    IpSlice,
    Ipv4Header,
    Ipv6FlowLabel,
    Ipv6Header,
    PacketBuilder,
    PacketBuilderStep,
    TcpSlice,
    icmpv4,
    icmpv6, //
};

use crate::{
    encapsulation::{
        GRE_IPV4,
        GRE_IPV6, //
    },
    error::Error,
};

/// Time to live of a reply, in hops.
const TTL_HOPS: u8 = 64;

/// Maximum number of bytes of the refused packet quoted in an ICMP message.
const QUOTED_BYTES: usize = 512;

/// Builds the reply to a refused packet, including the GRE header: a TCP reset (RFC 9293, section
/// 3.10.7.1), or an ICMP port unreachable message for UDP. A reset gets no reply.
///
/// # Errors
///
/// [`Error::Truncated`] if the packet ends before its headers do, [`Error::Protocol`] if no
/// reply can be built.
pub fn refusal(packet: &[u8]) -> Result<Option<Vec<u8>>, Error> {
    let truncated = || Error::Truncated(packet.len());
    let ip = IpSlice::from_slice(packet).map_err(|_| truncated())?;
    let header = reply_header(&ip)?;
    let mut reply = match ip.source_addr() {
        IpAddr::V4(_) => GRE_IPV4.to_vec(),
        IpAddr::V6(_) => GRE_IPV6.to_vec(),
    };
    let quoted = packet.get(..QUOTED_BYTES).unwrap_or(packet);
    match ip.payload().ip_number {
        IpNumber::TCP => {
            let tcp = TcpSlice::from_slice(ip.payload().payload).map_err(|_| truncated())?;
            if tcp.rst() {
                return Ok(None);
            }
            reset(header, &tcp, &mut reply)?;
        }
        IpNumber::UDP => unreachable_port(header, quoted, &mut reply)?,
        _ => return Err(Error::Protocol),
    }
    Ok(Some(reply))
}

/// The IP header of a reply.
fn reply_header(ip: &IpSlice<'_>) -> Result<PacketBuilderStep<IpHeaders>, Error> {
    let headers = match (ip.source_addr(), ip.destination_addr()) {
        (IpAddr::V4(source), IpAddr::V4(destination)) => {
            let number = IpNumber::TCP;
            Ipv4Header::new(0, TTL_HOPS, number, destination.octets(), source.octets())
                .map(|header| IpHeaders::Ipv4(header, Default::default()))
                .map_err(|_| Error::Protocol)?
        }
        (IpAddr::V6(source), IpAddr::V6(destination)) => {
            let header = Ipv6Header {
                destination: source.octets(),
                flow_label: Ipv6FlowLabel::ZERO,
                hop_limit: TTL_HOPS,
                next_header: IpNumber::TCP,
                payload_length: 0,
                source: destination.octets(),
                traffic_class: 0,
            };
            IpHeaders::Ipv6(header, Default::default())
        }
        _ => return Err(Error::Protocol),
    };
    Ok(PacketBuilder::ip(headers))
}

fn reset(
    header: PacketBuilderStep<IpHeaders>,
    tcp: &TcpSlice<'_>,
    reply: &mut Vec<u8>,
) -> Result<(), Error> {
    let (from, to) = (tcp.destination_port(), tcp.source_port());
    let step = if tcp.ack() {
        header.tcp(from, to, tcp.acknowledgment_number(), 0).rst()
    } else {
        let length = u32::try_from(tcp.payload().len()).unwrap_or(u32::MAX);
        let flags = u32::from(tcp.syn()) + u32::from(tcp.fin());
        let next = tcp
            .sequence_number()
            .wrapping_add(length)
            .wrapping_add(flags);
        header.tcp(from, to, 0, 0).rst().ack(next)
    };
    step.write(reply, &[]).map_err(|_| Error::Protocol)
}

fn unreachable_port(
    header: PacketBuilderStep<IpHeaders>,
    quoted: &[u8],
    reply: &mut Vec<u8>,
) -> Result<(), Error> {
    let written = if reply.starts_with(&GRE_IPV4) {
        let message = icmpv4::DestUnreachableHeader::Port;
        header
            .icmpv4(Icmpv4Type::DestinationUnreachable(message))
            .write(reply, quoted)
    } else {
        let message = icmpv6::DestUnreachableCode::Port;
        header
            .icmpv6(Icmpv6Type::DestinationUnreachable(message))
            .write(reply, quoted)
    };
    written.map_err(|_| Error::Protocol)
}
