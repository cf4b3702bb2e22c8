//! Entries that share the rates of endpoints in their slow start, as stores tell them, and routes
//! with homes.

use std::{
    collections::BTreeMap,
    net::SocketAddrV4,
    time::Duration, //
};

use announcements::{
    Announcement,
    Record,
    State, //
};
use codes::Code;
use mimosausher_edge::{
    CentreEntries,
    Document,
    KnownEntries,
    Locality,
    Packet,
    PacketKind,
    Push,
    Route,
    RouteTerms,
    ServiceTerms,
    Share,
    Terms,
    View, //
};
use placement::{
    FlowKey,
    Progress, //
};
use rand::SeedableRng as _;
use rand_chacha::ChaCha8Rng;
use store::{
    Evacuated,
    Revision, //
};

fn at(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

fn own() -> SocketAddrV4 {
    "10.1.0.1:7720".parse().unwrap()
}

fn document(warmup_rate: f32, homes: &[&str]) -> Document {
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
        services: ["s".into()].into(),
        terms: Terms {
            routes: [RouteTerms {
                homes: homes.iter().map(|home| Box::from(*home)).collect(),
                ..RouteTerms::default()
            }]
            .into(),
            services: [ServiceTerms { warmup_rate }].into(),
        },
        version: 7,
    }
}

fn record(name: &str, centre: &str, sequence: u64, warmup: u32) -> Record {
    Record {
        age: 0,
        announcement: Announcement {
            address: format!("10.0.0.{}:80", name.len()).parse().unwrap(),
            centre: centre.into(),
            incarnation: 1,
            name: name.into(),
            sequence,
            service: "s".into(),
            slots: 2,
            state: State::Ready,
            warmup,
        },
        departed: false,
        silent: false,
    }
}

struct Harness {
    port: u16,
    random: ChaCha8Rng,
    view: View,
}

impl Harness {
    fn new(document: Document) -> Self {
        let regions = [("a", "east"), ("b", "west")];
        let regions: BTreeMap<_, _> = regions.map(|(a, b)| (a.into(), b.into())).into();
        let locality = Locality::new("a").with_regions(regions);
        let mut harness = Self {
            port: 1024,
            random: ChaCha8Rng::seed_from_u64(1),
            view: View::new(locality, Duration::ZERO).with_address(own()),
        };
        let terms = Some(document.terms.clone());
        harness.apply(0, |push| {
            push.document = Some(document);
            push.entries = Some(vec![CentreEntries {
                centre: "a".into(),
                entries: vec![own()],
            }]);
            push.terms = terms;
        });
        harness
    }

    fn apply(&mut self, now: u64, change: impl FnOnce(&mut Push)) {
        let mut push = Push {
            current: true,
            ..Push::default()
        };
        change(&mut push);
        self.view.apply(at(now), 0, push, |_| Some(1));
    }

    /// Keepalives of the store up to a time.
    fn keep(&mut self, until: u64) {
        for now in (0..=until).step_by(500) {
            self.apply(now, |_| {});
        }
    }

    fn open(&mut self, now: u64) -> Result<Box<str>, Code> {
        self.port += 1;
        let packet = Packet {
            flow: FlowKey {
                client: format!("100.64.0.1:{}", self.port).parse().unwrap(),
                destination: "198.18.0.1:443".parse().unwrap(),
            },
            kind: PacketKind::Open(0),
            progress: Progress::default(),
            reference: None,
        };
        let key = self.view.route(at(now), &packet, &mut self.random)?;
        Ok(self.view.pool().get(key).unwrap().name.clone())
    }
}

/// A running endpoint says that its slow start has begun again: its flows are limited from then on.
#[test]
fn warmup_begins_again() {
    let mut harness = Harness::new(document(2.0, &[]));
    harness.keep(7_000);
    harness.apply(7_000, |push| push.records = vec![record("i-1", "a", 1, 0)]);
    assert!((0..20).all(|_| harness.open(7_100).is_ok()));
    harness.apply(7_200, |push| {
        push.records = vec![record("i-1", "a", 2, 4_000)]
    });
    let placed = (0..20).filter(|_| harness.open(7_300).is_ok()).count();
    assert_eq!(placed, 1);
    assert_eq!(harness.open(7_400), Err(Code::FlowSlowStart));
    assert!(harness.open(7_900).is_ok());
    assert!(
        (0..20).all(|_| harness.open(11_300).is_ok()),
        "it has ended"
    );
}

/// The end of an evacuation, before its endpoints say that they are cold.
#[test]
fn warmup_presumed() {
    let mut harness = Harness::new(document(2.0, &[]));
    harness.keep(7_000);
    harness.apply(7_000, |push| push.records = vec![record("i-1", "a", 1, 0)]);
    harness.view.presume_slow(at(7_000), "a");
    assert!(harness.open(7_100).is_ok());
    assert_eq!(harness.open(7_200), Err(Code::FlowSlowStart));
}

/// A store tells of the end of an evacuation: flows are limited until the endpoints can have said
/// that they are cold.
#[test]
fn warmup_evacuation_ends() {
    let mut harness = Harness::new(document(2.0, &[]));
    harness.keep(7_000);
    harness.apply(7_000, |push| push.records = vec![record("i-1", "a", 1, 0)]);
    let mut evacuated = Evacuated {
        centres: [Box::from("a")].into(),
        revision: Revision(1),
    };
    harness.apply(7_100, |push| push.evacuated = Some(evacuated.clone()));
    assert_eq!(harness.open(7_200), Err(Code::FlowNoEndpoint));
    evacuated.centres.clear();
    evacuated.revision = Revision(2);
    harness.apply(7_300, |push| push.evacuated = Some(evacuated));
    assert!(harness.open(7_400).is_ok());
    assert_eq!(harness.open(7_500), Err(Code::FlowSlowStart));
}

/// An entry that has lost its stores, or follows one without a quorum, leaves the rates to others.
#[test]
fn warmup_no_quorum() {
    let mut harness = Harness::new(document(2.0, &[]));
    harness.keep(7_000);
    let records = || vec![record("i-1", "a", 1, 60_000)];
    harness.apply(7_000, |push| push.records = records());
    assert!(harness.open(7_100).is_ok());
    for now in [8_000, 9_000, 10_000, 10_500] {
        harness.apply(now, |push| push.current = false);
    }
    assert_eq!(harness.open(10_600), Err(Code::FlowSlowStart));
    harness.apply(11_000, |_| {});
    assert!(harness.open(11_100).is_ok());
}

/// A document without a rate: a slow start limits nothing.
#[test]
fn warmup_no_rate() {
    let mut harness = Harness::new(document(0.0, &[]));
    harness.apply(1_000, |push| {
        push.records = vec![record("i-1", "a", 1, 60_000)]
    });
    harness.view.presume_slow(at(1_000), "a");
    assert!((0..100).all(|_| harness.open(1_100).is_ok()));
}

/// Endpoints of each region; the home's ones leave.
#[test]
fn homes_nothing_left() {
    let mut harness = Harness::new(document(0.0, &["west"]));
    let records = vec![record("i-1", "a", 1, 0), record("i-02", "b", 1, 0)];
    harness.apply(1_000, |push| push.records = records);
    assert_eq!(harness.open(1_100), Ok("i-02".into()));
    let mut departed = record("i-02", "b", 2, 0);
    departed.departed = true;
    harness.apply(1_200, |push| push.records = vec![departed]);
    assert_eq!(harness.open(1_300), Err(Code::FlowNoEndpoint));
}

/// Entries that follow this store and another, by data centre; one that has been away for long is
/// forgotten.
#[test]
fn located_entries() {
    let entry = |number: u8| -> SocketAddrV4 { format!("10.1.0.{number}:7720").parse().unwrap() };
    let located = |centre: &str, entries: &[u8]| CentreEntries {
        centre: centre.into(),
        entries: entries.iter().map(|number| entry(*number)).collect(),
    };
    let mut known = KnownEntries::new(at(0), [entry(1)]);
    known.add_follower(at(0), entry(2));
    known.locate([located("b", &[2])]);
    known.record(at(30_000), [entry(3), entry(4)]);
    known.locate([located("a", &[3]), located("b", &[4])]);
    assert_eq!(known.located(), [located("a", &[3]), located("b", &[2, 4])]);
    assert_eq!(known.located_followers(), [located("b", &[2])]);
    known.tick(at(90_001));
    assert_eq!(known.located(), [located("b", &[2])]);
}

/// Stores of earlier versions send fewer of the fields at the end: terms, evacuated data centres,
/// entries and performance, of a byte each if there is nothing to say.
#[test]
fn push_of_earlier_version() {
    let bytes = postcard::to_stdvec(&Push::default()).unwrap();
    for missing in 0..=4 {
        let earlier = bytes.get(..bytes.len() - missing).unwrap();
        let push: Push = postcard::from_bytes(earlier).unwrap();
        assert!(push.terms.is_none() && push.evacuated.is_none());
        assert!(push.entries.is_none() && push.performance.is_empty());
    }
}
