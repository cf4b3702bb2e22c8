//! Datagrams between instances survive their codec, and no bytes make it panic.

use codes::Code;
use mimosausher_wire::{
    Addresses,
    Announcement,
    Datagram,
    Instance,
    State, //
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
        store: false,
    }
}

#[test]
fn encode_heartbeat_same() {
    let datagram = Datagram::Heartbeat {
        from: instance(),
        known: vec![instance(), instance()],
    };
    let bytes = datagram.encode().unwrap();
    assert_eq!(Datagram::decode(&bytes).unwrap(), datagram);
}

#[test]
fn encode_announcement_same() {
    let datagram = Datagram::Announcement(Announcement {
        address: "127.0.0.1:9000".parse().unwrap(),
        centre: "porto-a".into(),
        connections: 3,
        incarnation: 2,
        load: 0.5,
        name: "desk-1".into(),
        sequence: 9,
        service: "booking-desk".into(),
        slots: 3,
        state: State::Draining,
    });
    let bytes = datagram.encode().unwrap();
    assert_eq!(Datagram::decode(&bytes).unwrap(), datagram);
}

#[test]
fn decode_any_bytes() {
    bolero::check!().for_each(|bytes: &[u8]| {
        if let Err(error) = Datagram::decode(bytes) {
            assert_eq!(error.code(), Code::MessageMalformed);
        }
    });
}
