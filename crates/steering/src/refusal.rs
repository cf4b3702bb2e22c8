//! The answer to a packet whose flow has no endpoint.

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

/// Time to live of an answer, in hops.
const HOPS: u8 = 64;

/// Bytes of the refused packet that an answer over ICMP quotes at most.
const QUOTED_BYTES: usize = 512;

/// Builds the answer to the sender of a packet, as GRE in UDP carries it: a TCP reset (RFC 9293,
/// section 3.10.7.1), or an ICMP message that the port is unreachable. A reset is not answered.
///
/// # Errors
///
/// [`Error::Truncated`] if the packet ends before its headers do, [`Error::Protocol`] if no
/// answer can be built.
pub fn refusal(packet: &[u8]) -> Result<Option<Vec<u8>>, Error> {
    let truncated = || Error::Truncated(packet.len());
    let ip = IpSlice::from_slice(packet).map_err(|_| truncated())?;
    let header = reply(&ip)?;
    let mut answer = match ip.source_addr() {
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
            reset(header, &tcp, &mut answer)?;
        }
        IpNumber::UDP => unreachable_port(header, quoted, &mut answer)?,
        _ => return Err(Error::Protocol),
    }
    Ok(Some(answer))
}

/// The IP header of an answer.
fn reply(ip: &IpSlice<'_>) -> Result<PacketBuilderStep<IpHeaders>, Error> {
    let headers = match (ip.source_addr(), ip.destination_addr()) {
        (IpAddr::V4(source), IpAddr::V4(destination)) => {
            let number = IpNumber::TCP;
            Ipv4Header::new(0, HOPS, number, destination.octets(), source.octets())
                .map(|header| IpHeaders::Ipv4(header, Default::default()))
                .map_err(|_| Error::Protocol)?
        }
        (IpAddr::V6(source), IpAddr::V6(destination)) => {
            let header = Ipv6Header {
                destination: source.octets(),
                flow_label: Ipv6FlowLabel::ZERO,
                hop_limit: HOPS,
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
    answer: &mut Vec<u8>,
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
    step.write(answer, &[]).map_err(|_| Error::Protocol)
}

fn unreachable_port(
    header: PacketBuilderStep<IpHeaders>,
    quoted: &[u8],
    answer: &mut Vec<u8>,
) -> Result<(), Error> {
    let written = if answer.starts_with(&GRE_IPV4) {
        let message = icmpv4::DestUnreachableHeader::Port;
        header
            .icmpv4(Icmpv4Type::DestinationUnreachable(message))
            .write(answer, quoted)
    } else {
        let message = icmpv6::DestUnreachableCode::Port;
        header
            .icmpv6(Icmpv6Type::DestinationUnreachable(message))
            .write(answer, quoted)
    };
    written.map_err(|_| Error::Protocol)
}
