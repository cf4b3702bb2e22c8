//! Datagrams between instances: encoding round trips, and decoding of arbitrary bytes without a
//! panic.

use codes::Code;
use mimosausher_wire::{
    Addresses,
    Announcement,
    Batch,
    Datagram,
    EndpointState,
    Instance,
    MembershipBody,
    MembershipMessage,
    Report,
    Route,
    Standing, //
};

fn instance() -> Instance {
    let address = "127.0.0.1:7201".parse().unwrap();
    Instance {
        addresses: Addresses {
            admin: address,
            fabric: Some(address),
            inner: address,
            requests: None,
        },
        centre: "porto-a".into(),
        incarnation: 7,
        name: "porto-a-1".into(),
        refutation: 2,
        store: false,
    }
}

#[test]
fn encode_member_round_trip() {
    let address = "127.0.0.1:7203".parse().unwrap();
    for body in [
        MembershipBody::Ack(1),
        MembershipBody::Join,
        MembershipBody::Ping(u64::MAX),
        MembershipBody::Request(2, address),
        MembershipBody::Tell,
    ] {
        let datagram = Datagram::Member(MembershipMessage {
            body,
            from: instance(),
            rumours: vec![
                (instance(), Standing::Alive),
                (instance(), Standing::Suspected),
                (instance(), Standing::Dead),
                (instance(), Standing::Left),
            ],
        });
        let bytes = datagram.encode().unwrap();
        assert_eq!(Datagram::decode(&bytes).unwrap(), datagram);
    }
}

#[test]
fn encode_batch_round_trip() {
    let announcement = Announcement {
        address: "127.0.0.1:9000".parse().unwrap(),
        centre: "porto-a".into(),
        connections: 3,
        incarnation: 2,
        load: 0.5,
        name: "desk-1".into(),
        sequence: 9,
        service: "booking-desk".into(),
        slots: 3,
        state: EndpointState::Draining,
    };
    let address = "127.0.0.1:7203".parse().unwrap();
    for route in [Route::Direct, Route::Forward(address), Route::Spread] {
        let datagram = Datagram::Batch(Batch {
            echo: Some((5, u64::MAX)),
            reports: vec![Report {
                age: 1,
                announcement: announcement.clone(),
                bound: 2,
                warm: 3,
            }],
            route,
            stamp: 4,
        });
        let bytes = datagram.encode().unwrap();
        assert_eq!(Datagram::decode(&bytes).unwrap(), datagram);
    }
}

#[test]
fn decode_any_bytes() {
    bolero::check!().for_each(|bytes: &[u8]| {
        if let Err(error) = Datagram::decode(bytes) {
            assert_eq!(error.code(), Code::MessageMalformed);
        }
    });
}
