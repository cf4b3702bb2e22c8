//! Limits, refusals, placement and reuse of addresses, on the state machine of one entry.

use std::time::Duration;

use codes::Code;
use etherparse::{
    PacketBuilder,
    SlicedPacket,
    TransportSlice, //
};
use mimosausher_steering::{
    Action,
    Endpoint,
    EndpointId,
    FlowId,
    FlowPacket,
    InstanceId,
    OwnerSteering,
    Peer,
    Phase,
    ServiceId,
    Steer,
    refusal, //
};

const NOW: Duration = Duration::from_secs(60);

fn endpoint(name: &str, service: &str, incarnation: u64, share: u16) -> Endpoint {
    Endpoint {
        id: EndpointId::new(name, service, incarnation),
        load: 0.0,
        service: ServiceId::new(service),
        share,
        weight: 1,
    }
}

fn machine(limit: usize) -> OwnerSteering {
    let own = Peer {
        centre: 1,
        id: InstanceId::new("entry-1"),
        incarnation: 1,
        leaving: false,
        reachable: true,
    };
    let mut machine = OwnerSteering::new(Duration::ZERO, own, limit, 3);
    machine.set_endpoints(NOW, &[endpoint("updates-1", "updates", 1, 1000)]);
    machine
}

fn packet(flow: u64, phase: Phase) -> FlowPacket {
    FlowPacket {
        flow: FlowId(flow),
        phase,
        service: ServiceId::new("updates"),
    }
}

#[test]
fn handle_packet_flood_of_first_packets() {
    let mut machine = machine(800);
    for flow in 0..100 {
        machine.handle_packet(NOW, &packet(flow, Phase::Opens));
        machine.handle_packet(NOW, &packet(flow, Phase::Follows));
    }
    for flow in 1_000..100_000 {
        machine.handle_packet(NOW, &packet(flow, Phase::Opens));
    }
    assert!(machine.len() <= 200);
    let endpoint = EndpointId::new("updates-1", "updates", 1);
    for flow in 0..100 {
        let action = machine.handle_packet(NOW, &packet(flow, Phase::Follows));
        assert_eq!(action, Action::Forward(endpoint));
    }
    machine.handle_packet(NOW, &packet(200, Phase::Opens));
    let action = machine.handle_packet(NOW, &packet(200, Phase::Follows));
    assert_eq!(action, Action::Forward(endpoint));
}

#[test]
fn handle_packet_full_table() {
    let mut machine = machine(64);
    for flow in 0..28 {
        machine.handle_packet(NOW, &packet(flow, Phase::Opens));
        machine.handle_packet(NOW, &packet(flow, Phase::Follows));
    }
    let action = machine.handle_packet(NOW, &packet(99, Phase::Opens));
    assert_eq!(action, Action::Refuse(Code::FlowTableFull));
}

#[test]
fn handle_packet_draining_endpoint() {
    let mut machine = machine(64);
    machine.handle_packet(NOW, &packet(1, Phase::Opens));
    machine.handle_packet(NOW, &packet(1, Phase::Follows));
    let old = endpoint("updates-1", "updates", 1, 0);
    let new = endpoint("updates-2", "updates", 1, 100);
    machine.set_endpoints(NOW, &[old, new]);
    let kept = machine.handle_packet(NOW, &packet(1, Phase::Follows));
    assert_eq!(kept, Action::Forward(old.id));
    for flow in 2..50 {
        let action = machine.handle_packet(NOW, &packet(flow, Phase::Opens));
        assert_eq!(action, Action::Forward(new.id));
    }
}

#[test]
fn handle_packet_reused_address() {
    let mut machine = machine(64);
    machine.handle_packet(NOW, &packet(1, Phase::Opens));
    machine.handle_packet(NOW, &packet(1, Phase::Follows));
    machine.set_endpoints(NOW, &[endpoint("updates-1", "canvas", 1, 1000)]);
    let action = machine.handle_packet(NOW, &packet(1, Phase::Follows));
    assert_eq!(action, Action::Refuse(Code::FlowEndpointGone));
    machine.set_endpoints(NOW, &[endpoint("updates-1", "updates", 2, 1000)]);
    let action = machine.handle_packet(NOW, &packet(1, Phase::Follows));
    assert_eq!(action, Action::Refuse(Code::FlowEndpointGone));
}

#[test]
fn tick_idle_flows() {
    let mut machine = machine(64);
    machine.handle_packet(NOW, &packet(1, Phase::Opens));
    machine.handle_packet(NOW, &packet(1, Phase::Follows));
    machine.handle_packet(NOW, &packet(2, Phase::Opens));
    let mut copies = Vec::new();
    machine.tick(NOW + Duration::from_secs(70), &mut copies);
    assert_eq!(machine.len(), 1);
    machine.tick(NOW + Duration::from_secs(7 * 3600), &mut copies);
    assert!(machine.is_empty());
}

#[test]
fn place_overloaded_endpoint() {
    let mut machine = machine(20_000);
    let mut busy = endpoint("updates-1", "updates", 1, 1000);
    busy.load = 1.0;
    let idle = endpoint("updates-2", "updates", 1, 1000);
    machine.set_endpoints(NOW, &[busy, idle]);
    let chosen = (0..3_000)
        .filter(|flow| {
            machine.handle_packet(NOW, &packet(*flow, Phase::Opens)) == Action::Forward(busy.id)
        })
        .count();
    // The loaded endpoint's penalty is 1.5, so 3,000 flows divide as 2 to 3.
    assert!((1_150..1_250).contains(&chosen), "{chosen}");
}

#[test]
fn refusal_tcp_segment() {
    let mut packet = Vec::new();
    PacketBuilder::ipv4([127, 0, 0, 1], [203, 0, 113, 10], 64)
        .tcp(4001, 4000, 77, 1024)
        .ack(1234)
        .write(&mut packet, b"hello")
        .unwrap();
    let reply = refusal(&packet).unwrap().unwrap();
    let sliced = SlicedPacket::from_ip(&reply[4..]).unwrap();
    let Some(TransportSlice::Tcp(tcp)) = sliced.transport else {
        panic!("not TCP");
    };
    assert!(tcp.rst() && !tcp.ack());
    assert_eq!((tcp.source_port(), tcp.destination_port()), (4000, 4001));
    assert_eq!(tcp.sequence_number(), 1234);
    assert_eq!(refusal(&reply[4..]).unwrap(), None);
}

#[test]
fn refusal_udp_datagram() {
    let mut packet = Vec::new();
    PacketBuilder::ipv4([127, 0, 0, 1], [203, 0, 113, 10], 64)
        .udp(4001, 4000)
        .write(&mut packet, b"hello")
        .unwrap();
    let reply = refusal(&packet).unwrap().unwrap();
    let sliced = SlicedPacket::from_ip(&reply[4..]).unwrap();
    let Some(TransportSlice::Icmpv4(icmp)) = sliced.transport else {
        panic!("not ICMP");
    };
    assert_eq!((icmp.type_u8(), icmp.code_u8()), (3, 3));
    assert_eq!(icmp.payload(), packet);
}
