//! What an entry knows: routes and endpoints as two followed stores tell of them.

use std::time::Duration;

use announcements::{
    Announcement,
    Record,
    State, //
};
use codes::Code;
use mimosausher_edge::{
    Document,
    Kind,
    Loaded,
    Packet,
    Place,
    Push,
    Route,
    Share,
    View, //
};
use placement::{
    FlowKey,
    Phase,
    Progress,
    Reference, //
};
use rand::SeedableRng as _;
use rand_chacha::ChaCha8Rng;

const LEARNING: Duration = Duration::from_secs(2);

fn at(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

fn document(version: u64, services: &[&str]) -> Document {
    let shares = [Share {
        service: 0,
        weight: 1,
    }];
    Document {
        routes: [Route {
            address: "198.18.0.1:443".parse().unwrap(),
            repeatable: true,
            shares: shares.into(),
        }]
        .into(),
        services: services.iter().map(|name| Box::from(*name)).collect(),
        version,
    }
}

fn record(name: &str, sequence: u64, silent: bool) -> Record {
    Record {
        age: 0,
        announcement: Announcement {
            address: "10.0.0.1:80".parse().unwrap(),
            centre: "a".into(),
            incarnation: 1,
            name: name.into(),
            sequence,
            service: "s".into(),
            slots: 2,
            state: State::Ready,
            warmup: 0,
        },
        departed: false,
        silent,
    }
}

fn push(document: Option<Document>, records: Vec<Record>) -> Push {
    Push {
        current: true,
        document,
        records,
        ..Push::default()
    }
}

fn open(port: u16) -> Packet {
    Packet {
        flow: FlowKey {
            caller: format!("100.64.0.1:{port}").parse().unwrap(),
            route: "198.18.0.1:443".parse().unwrap(),
        },
        kind: Kind::Open(0),
        progress: Progress::default(),
        reference: None,
    }
}

struct World {
    random: ChaCha8Rng,
    view: View,
}

impl World {
    fn new() -> Self {
        Self {
            random: ChaCha8Rng::seed_from_u64(1),
            view: View::new(Place::new("a"), LEARNING),
        }
    }

    fn take(&mut self, source: usize, push: Push) -> bool {
        self.view.take(at(10), source, push, |_| Some(1))
    }

    fn route(&mut self, now: Duration, packet: &Packet) -> Result<Box<str>, Code> {
        let key = self.view.route(now, packet, &mut self.random)?;
        Ok(self.view.pool().get(key).unwrap().name.clone())
    }

    fn phase(&self, name: &str) -> Phase {
        let mut endpoints = self.view.pool().iter();
        endpoints.find(|held| &*held.name == name).unwrap().phase
    }
}

/// All entries start again at once: none refuses a caller for want of a document.
#[test]
fn route_entry_that_starts() {
    let mut world = World::new();
    assert_eq!(world.route(at(0), &open(1)), Err(Code::EntryStarting));
    let mut stale = push(Some(document(7, &["s"])), vec![record("i-1", 1, false)]);
    stale.current = false;
    world.take(0, stale);
    assert!(!world.view.ready());
    assert_eq!(world.route(at(20), &open(1)), Err(Code::EntryStarting));
    world.take(1, push(None, vec![]));
    assert!(world.view.ready());
    assert_eq!(world.route(at(30), &open(1)), Ok("i-1".into()));
}

/// All machines lost power and one store is back, or a data centre is cut off from all others.
#[test]
fn route_no_quorum_anywhere() {
    let mut world = World::new();
    let mut stale = push(Some(document(7, &["s"])), vec![record("i-1", 1, false)]);
    stale.current = false;
    world.take(0, stale);
    assert_eq!(world.route(at(109), &open(1)), Err(Code::EntryStarting));
    assert_eq!(world.route(at(110), &open(1)), Ok("i-1".into()));
    assert!(!world.view.ready());
    let mut elsewhere = open(2);
    elsewhere.flow.route = "198.18.0.9:1".parse().unwrap();
    assert_eq!(
        world.route(at(110), &elsewhere),
        Err(Code::EntryStarting),
        "a later document may have the route"
    );
    world.take(1, push(Some(document(8, &["s"])), vec![]));
    assert_eq!(world.view.version(), 8);
    assert_eq!(world.route(at(120), &elsewhere), Err(Code::PacketAddress));
}

#[test]
fn route_endpoints_not_heard_of_yet() {
    let mut world = World::new();
    world.take(0, push(Some(document(7, &["s"])), vec![]));
    assert_eq!(world.route(at(100), &open(1)), Err(Code::EntryStarting));
    assert_eq!(world.route(LEARNING, &open(1)), Err(Code::FlowNoEndpoint));
}

#[test]
fn route_unknown_address() {
    let mut world = World::new();
    world.take(0, push(Some(document(7, &["s"])), vec![]));
    let mut packet = open(1);
    packet.flow.route = "198.18.0.9:1".parse().unwrap();
    assert_eq!(world.route(at(20), &packet), Err(Code::PacketAddress));
}

#[test]
fn take_older_document() {
    let mut world = World::new();
    assert!(world.take(0, push(Some(document(9, &["s"])), vec![])));
    assert!(!world.take(1, push(Some(document(7, &["t"])), vec![])));
    assert!(!world.take(1, push(Some(document(9, &["t"])), vec![])));
    assert_eq!(world.view.version(), 9);
    world.take(0, push(None, vec![record("i-1", 1, false)]));
    assert_eq!(world.route(at(20), &open(1)), Ok("i-1".into()));
}

/// A store that is cut off hears of no endpoint; the other one does.
#[test]
fn take_silence_of_one_store() {
    let mut world = World::new();
    world.take(
        0,
        push(Some(document(7, &["s"])), vec![record("i-1", 1, true)]),
    );
    assert_eq!(world.phase("i-1"), Phase::Silent);
    world.take(1, push(None, vec![record("i-1", 1, false)]));
    assert_eq!(world.phase("i-1"), Phase::Ready);
    world.take(1, push(None, vec![record("i-1", 2, true)]));
    assert_eq!(world.phase("i-1"), Phase::Silent);
    world.view.lose(at(20), 0, |_| Some(1));
    assert_eq!(world.phase("i-1"), Phase::Silent);
    world.view.lose(at(20), 1, |_| Some(1));
    assert_eq!(world.phase("i-1"), Phase::Ready);
}

/// The store that told of loads is lost: what it said last must not stay for good.
#[test]
fn lose_store_that_told_of_loads() {
    let mut world = World::new();
    let mut loaded = push(Some(document(7, &["s"])), vec![record("i-1", 1, false)]);
    loaded.loads = vec![Loaded {
        busy: 9,
        flows: 9,
        reference: Reference::to("i-1").number(),
    }];
    world.take(0, loaded);
    let busy = |world: &World| {
        let mut endpoints = world.view.pool().iter();
        endpoints.next().unwrap().load().busy
    };
    assert_eq!(busy(&world), 9);
    world.view.lose(at(20), 1, |_| Some(1));
    assert_eq!(busy(&world), 9);
    world.view.lose(at(20), 0, |_| Some(1));
    assert_eq!(busy(&world), 0);
}

#[test]
fn take_late_record() {
    let mut world = World::new();
    let mut draining = record("i-1", 9, false);
    draining.announcement.state = State::Draining;
    world.take(0, push(Some(document(7, &["s"])), vec![draining]));
    world.take(1, push(None, vec![record("i-1", 8, false)]));
    assert_eq!(world.phase("i-1"), Phase::Draining);
}

#[test]
fn take_any_bytes() {
    bolero::check!().for_each(|bytes: &[u8]| {
        if let Ok(push) = postcard::from_bytes::<Push>(bytes) {
            let mut world = World::new();
            world.take(0, push);
            let _routed = world.route(at(20), &open(1));
        }
    });
}
