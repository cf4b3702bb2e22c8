//! CPU time, traffic and memory of membership by the number of members in the view.
//!
//! All instances of one data centre run in virtual time, each with a view of the whole data
//! centre; the figures are per instance.

use std::{
    collections::BTreeMap,
    net::{
        Ipv4Addr,
        SocketAddr, //
    },
    time::{
        Duration,
        Instant, //
    },
};

use mimosausher_membership::{
    Action,
    Body,
    Event,
    Instance,
    Members,
    Message,
    Rumour,
    Standing,
    TICK, //
};
use standin::{
    Figure,
    Fit,
    resident_bytes, //
};

/// Numbers of instances in the data centre.
const SIZES: [u16; 5] = [50, 100, 200, 400, 800];

/// Virtual time of the measurement.
const MEASURED: Duration = Duration::from_secs(20);

/// Virtual time before the measurement, in which the initial exchanges of views complete.
const WARMUP: Duration = Duration::from_secs(5);

/// Bytes of the IPv4 and UDP headers and of a message without instances.
const HEADER_BYTES: usize = 28 + 6;

fn address(number: u16) -> SocketAddr {
    SocketAddr::from((Ipv4Addr::LOCALHOST, number))
}

fn instance(number: u16) -> Instance {
    Instance {
        admin: address(number),
        centre: "porto-a".into(),
        fabric: Some(address(number)),
        incarnation: 1_780_000_000_000,
        inner: address(number),
        name: format!("porto-a-{number:05}").into(),
        refutation: 0,
        requests: Some(address(number)),
        store: false,
    }
}

/// Encoded size of an instance in a message, in bytes.
fn instance_bytes() -> usize {
    let instance = instance(1);
    let body = wire::MembershipBody::Tell;
    let from = wire::Instance {
        addresses: wire::Addresses {
            admin: instance.admin,
            fabric: instance.fabric,
            inner: instance.inner,
            requests: instance.requests,
        },
        centre: instance.centre,
        incarnation: instance.incarnation,
        name: instance.name,
        refutation: instance.refutation,
        store: instance.store,
    };
    let rumours = vec![(from.clone(), wire::Standing::Alive)];
    let length = |rumours| {
        let from = from.clone();
        let message = wire::MembershipMessage {
            body,
            from,
            rumours,
        };
        wire::Datagram::Member(message).encode().unwrap().len()
    };
    length(rumours) - length(Vec::new())
}

struct Net {
    bytes: usize,
    instance_bytes: usize,
    members: BTreeMap<u16, Members>,
    now: Duration,
    in_flight: Vec<(u16, Action)>,
}

impl Net {
    fn new(size: u16) -> Self {
        let rumours: Vec<_> = (1..=size)
            .map(|number| Rumour {
                instance: instance(number),
                standing: Standing::Alive,
            })
            .collect();
        let mut net = Self {
            bytes: 0,
            in_flight: Vec::new(),
            instance_bytes: instance_bytes(),
            members: BTreeMap::new(),
            now: Duration::from_secs(1),
        };
        for number in 1..=size {
            let mut members = Members::new(instance(number), &[], u64::from(number));
            let event = Event::Received {
                from: address(1),
                message: Box::new(Message {
                    body: Body::Tell,
                    from: instance(1 + number % size),
                    rumours: rumours.clone(),
                }),
            };
            members.handle(net.now, event);
            net.members.insert(number, members);
        }
        net
    }

    fn run(&mut self, time: Duration) {
        let end = self.now + time;
        while self.now < end {
            self.now += TICK;
            for (from, action) in std::mem::take(&mut self.in_flight) {
                let event = Event::Received {
                    from: address(from),
                    message: Box::new(action.message),
                };
                self.event(action.to.port(), event);
            }
            for number in 1..=u16::try_from(self.members.len()).unwrap() {
                self.event(number, Event::Tick);
            }
        }
    }

    fn event(&mut self, number: u16, event: Event) {
        let Some(members) = self.members.get_mut(&number) else {
            return;
        };
        for action in members.handle(self.now, event) {
            let instances = 1 + action.message.rumours.len();
            self.bytes += HEADER_BYTES + instances * self.instance_bytes;
            self.in_flight.push((number, action));
        }
    }
}

fn main() {
    let (mut times, mut bytes, mut memories) = (Vec::new(), Vec::new(), Vec::new());
    for size in SIZES {
        let count = f64::from(size);
        let before = resident_bytes().unwrap();
        let mut net = Net::new(size);
        memories.push((count, (resident_bytes().unwrap() - before).max(0.0) / count));
        net.run(WARMUP);
        net.bytes = 0;
        let start = Instant::now();
        net.run(MEASURED);
        let instance_seconds = count * MEASURED.as_secs_f64();
        let time_ns = start.elapsed().as_secs_f64() * 1e9 / instance_seconds;
        let bytes_per_second = f64::from(u32::try_from(net.bytes).unwrap()) / instance_seconds;
        let case = format!("{size} members");
        Figure::new("members.ns", &case, time_ns, "ns/s").print();
        Figure::new("members.bytes", &case, bytes_per_second, "B/s").print();
        times.push((count, time_ns));
        bytes.push((count, bytes_per_second));
    }
    let case = "by member in view";
    Fit::new(&times).print("capacity.members_ns", case, "ns/s");
    Fit::new(&bytes).print("capacity.members_bytes", case, "B/s");
    Fit::new(&memories).print("capacity.members_memory", case, "B");
}
