//! CPU time and memory of steering by the number of flows held.

#![allow(missing_docs, reason = "a benchmark has no public items")]

use std::{
    hint::black_box,
    time::{
        Duration,
        Instant, //
    },
};

use mimosausher_steering::{
    Endpoint,
    EndpointId,
    FlowId,
    FlowPacket,
    InstanceId,
    OwnerSteering,
    Peer,
    Phase,
    ServiceId,
    Steer, //
};
use standin::{
    Figure,
    Fit, //
};

/// Numbers of flows held.
const HELD: [u64; 5] = [15_000, 30_000, 60_000, 120_000, 240_000];

/// Number of records of the table per 7 records of its area for owned flows.
const RECORDS_PER_7_OWNED: usize = 16;

const NOW: Duration = Duration::from_secs(60);

fn main() {
    let (mut memories, mut times) = (Vec::new(), Vec::new());
    for held in HELD {
        let mut machine = machine(held);
        let case = format!("{held} flows held");
        let start = Instant::now();
        let count = held.max(500_000);
        for number in 0..count {
            let packet = packet(number.wrapping_mul(7919) % held, Phase::Follows);
            black_box(machine.handle_packet(NOW, &packet));
        }
        let packet_ns = start.elapsed().as_nanos() as f64 / count as f64;
        Figure::new("flows.packet_cost", &case, packet_ns, "ns/packet").print();
        let bytes = machine.bytes() as f64;
        Figure::new("flows.table", &case, bytes / 1024.0 / 1024.0, "MiB").print();
        memories.push((held as f64, bytes));
        times.push((held as f64, packet_ns));
        let mut copies = Vec::new();
        let start = Instant::now();
        for second in 1..=20 {
            machine.tick(NOW + Duration::from_secs(second), &mut copies);
        }
        let tick_us = start.elapsed().as_micros() as f64 / 20.0;
        Figure::new("flows.background", &case, tick_us, "us a second").print();
    }
    let case = "by flow held";
    Fit::new(&memories).print("capacity.flows_memory", case, "B");
    Fit::new(&times).print("capacity.flows_ns", case, "ns/packet");
}

fn machine(held: u64) -> OwnerSteering {
    let own = Peer {
        centre: 0,
        id: InstanceId::new("entry-0"),
        incarnation: 1,
        leaving: false,
        reachable: true,
    };
    let limit = usize::try_from(held).unwrap() * RECORDS_PER_7_OWNED / 7 + RECORDS_PER_7_OWNED;
    let mut machine = OwnerSteering::new(Duration::ZERO, own, limit, 1);
    let endpoints: Vec<_> = (0..14)
        .map(|index| Endpoint {
            id: EndpointId::new("endpoint", "booking-desk", index),
            load: 0.0,
            service: ServiceId::new("booking-desk"),
            share: Endpoint::FULL_SHARE,
            weight: 3,
        })
        .collect();
    machine.set_endpoints(NOW, &endpoints);
    for number in 0..held {
        machine.handle_packet(NOW, &packet(number, Phase::Opens));
        machine.handle_packet(NOW, &packet(number, Phase::Follows));
    }
    machine
}

fn packet(number: u64, phase: Phase) -> FlowPacket {
    FlowPacket {
        flow: FlowId(number.wrapping_mul(0x9e37_79b9_7f4a_7c15)),
        phase,
        service: ServiceId::new("booking-desk"),
    }
}
