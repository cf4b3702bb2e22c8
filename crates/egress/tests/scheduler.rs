//! The order of packets on a narrow link, against the link that takes them as they come.

use std::{
    net::SocketAddr,
    time::Duration, //
};

use mimosausher_egress::{
    Bandwidth,
    Class,
    Description,
    PacketKey,
    Scheduler,
    Verdict, //
};
use placement::FlowKey;

/// Bytes of a full packet.
const FULL: usize = 1_240;

/// Bytes of a packet without payload.
const SHORT: usize = 40;

/// Packets that a client has in flight at most.
const WINDOW: u32 = 16;

/// Shortest interval of retransmissions.
const RETRANSMISSION: Duration = Duration::from_millis(200);

fn millis(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

fn address() -> SocketAddr {
    "10.0.0.1:80".parse().unwrap()
}

fn flow(port: u16) -> FlowKey {
    FlowKey {
        client: format!("100.64.0.1:{port}").parse().unwrap(),
        destination: "198.18.0.1:443".parse().unwrap(),
    }
}

fn key(port: u16, sequence: u32) -> PacketKey {
    PacketKey {
        flow: flow(port),
        opening: false,
        sequence,
    }
}

fn opening(port: u16) -> Description {
    Description {
        class: Class::Urgent,
        key: Some(PacketKey {
            opening: true,
            ..key(port, 0)
        }),
        to: address(),
    }
}

fn data(class: Class, port: u16, sequence: u32) -> Description {
    Description {
        class,
        key: Some(key(port, sequence)),
        to: address(),
    }
}

fn scheduler() -> Scheduler {
    Scheduler::new(Bandwidth::from_megabits(1.5).unwrap())
}

/// A link with a queue of its own, first in, first out.
struct Link {
    bandwidth: Bandwidth,
    free_at: Duration,
}

impl Link {
    fn new(megabits: f64) -> Self {
        Self {
            bandwidth: Bandwidth::from_megabits(megabits).unwrap(),
            free_at: Duration::ZERO,
        }
    }

    /// When a packet that is given to the link now has left it.
    fn send(&mut self, now: Duration, bytes: usize) -> Duration {
        self.free_at = self.free_at.max(now) + self.bandwidth.time_for(bytes);
        self.free_at
    }
}

/// Offers a window of full packets; returns how many leave at once.
fn offer_window(scheduler: &mut Scheduler, now: Duration, class: Class, port: u16) -> usize {
    let verdicts =
        (0..WINDOW).map(|sequence| scheduler.offer(now, data(class, port, sequence), &[0; FULL]));
    verdicts.filter(|verdict| *verdict == Verdict::Send).count()
}

/// Takes all packets, at the times at which they are due.
fn drain(scheduler: &mut Scheduler) -> Vec<(Duration, PacketKey)> {
    let mut departures = Vec::new();
    while let Some(due) = scheduler.due() {
        if let Some(departure) = scheduler.next(due) {
            departures.push((due, departure.key.unwrap()));
        }
    }
    departures
}

fn departure_of(departures: &[(Duration, PacketKey)], key: PacketKey) -> Duration {
    let found = departures.iter().find(|(_, other)| *other == key);
    found.unwrap().0
}

#[test]
fn offer_uploads_before_commands() {
    let mut scheduler = scheduler();
    for port in 1..=3 {
        offer_window(&mut scheduler, Duration::ZERO, Class::Bulk, port);
    }
    let command = Class::Request { priority: 1 };
    scheduler.offer(millis(5), opening(9), &[0; SHORT]);
    scheduler.offer(millis(5), data(command, 8, 0), &[0; 900]);
    let departures = drain(&mut scheduler);
    let opened = departure_of(&departures, opening(9).key.unwrap());
    let sent = departure_of(&departures, key(8, 0));
    assert!(opened < millis(20), "{opened:?}");
    assert!(sent < millis(30), "{sent:?}");
    // In the link's own queue both would stand behind all uploads.
    let mut link = Link::new(1.5);
    let behind = (0..3 * WINDOW).map(|_| link.send(Duration::ZERO, FULL));
    assert!(behind.max().unwrap() > millis(300));
}

#[test]
fn offer_by_priority() {
    let mut scheduler = scheduler();
    offer_window(&mut scheduler, Duration::ZERO, Class::Bulk, 1);
    for (port, priority) in [(2, 2), (3, 1)] {
        let class = Class::Request { priority };
        scheduler.offer(Duration::ZERO, data(class, port, 0), &[0; 300]);
    }
    let departures = drain(&mut scheduler);
    assert!(departure_of(&departures, key(3, 0)) < departure_of(&departures, key(2, 0)));
}

#[test]
fn offer_commands_before_bulk_not_starved() {
    let mut scheduler = scheduler();
    offer_window(&mut scheduler, Duration::ZERO, Class::Bulk, 1);
    let (mut commands, mut bulk) = (0, 0);
    let mut now = Duration::ZERO;
    // Twice what the link carries, for a second.
    for sequence in 0..300 {
        let class = Class::Request { priority: 0 };
        let port = u16::try_from(2 + sequence % 100).unwrap();
        scheduler.offer(now, data(class, port, sequence), &[0; FULL]);
        now += millis(3);
        while let Some(departure) = scheduler.next(now) {
            match departure.key.unwrap().flow == flow(1) {
                true => bulk += 1,
                false => commands += 1,
            }
        }
    }
    assert!(
        bulk >= commands / 10,
        "{bulk} of bulk, {commands} of commands"
    );
    assert!(
        bulk <= commands / 6,
        "{bulk} of bulk, {commands} of commands"
    );
}

#[test]
fn offer_first_upload_to_its_end() {
    let mut scheduler = scheduler();
    offer_window(&mut scheduler, Duration::ZERO, Class::Bulk, 1);
    offer_window(&mut scheduler, millis(1), Class::Bulk, 2);
    let ports: Vec<_> = drain(&mut scheduler)
        .into_iter()
        .map(|(_, key)| key.flow.client.port())
        .collect();
    assert!(ports.is_sorted(), "{ports:?}");
}

#[test]
fn offer_long_request_of_unknown_route() {
    let mut scheduler = scheduler();
    let class = Class::Request { priority: 0 };
    offer_window(&mut scheduler, Duration::ZERO, class, 1);
    scheduler.offer(Duration::ZERO, data(class, 2, 0), &[0; 900]);
    let sent = departure_of(&drain(&mut scheduler), key(2, 0));
    assert!(sent < millis(60), "{sent:?}");
}

#[test]
fn repeats_copies_of_queued_packets() {
    let mut scheduler = scheduler();
    let at_once =
        (1..=3).map(|port| offer_window(&mut scheduler, Duration::ZERO, Class::Bulk, port));
    let (mut sent, mut repeated) = (at_once.sum::<usize>(), 0);
    // Every client sends its window again until each packet has left.
    let mut now = RETRANSMISSION;
    while let Some(departure) = scheduler.next(now).or_else(|| {
        now = scheduler.due()?;
        scheduler.next(now)
    }) {
        sent += 1;
        let key = departure.key.unwrap();
        if departure.waited >= RETRANSMISSION {
            assert!(scheduler.repeats(now + millis(10), &key));
            repeated += 1;
        }
    }
    assert_eq!(sent, 48);
    assert!(repeated > 0);
}

#[test]
fn repeats_lost_packet() {
    let mut scheduler = scheduler();
    assert_eq!(
        scheduler.offer(Duration::ZERO, data(Class::Bulk, 1, 0), &[0; FULL]),
        Verdict::Send,
    );
    assert!(!scheduler.repeats(RETRANSMISSION, &key(1, 0)));
}

#[test]
fn next_opening_of_no_use() {
    let mut scheduler = Scheduler::new(Bandwidth::from_bytes(1_000.0).unwrap());
    scheduler.offer(Duration::ZERO, data(Class::Bulk, 1, 0), &[0; FULL]);
    scheduler.offer(Duration::ZERO, opening(2), &[0; SHORT]);
    assert_eq!(scheduler.next(Duration::from_secs(2)), None);
    assert_eq!(scheduler.bytes(), 0);
}

#[test]
fn offer_more_than_is_of_use() {
    let mut scheduler = scheduler();
    let mut verdicts = Vec::new();
    for port in 1..100 {
        for sequence in 0..WINDOW {
            let packet = data(Class::Bulk, port, sequence);
            verdicts.push(scheduler.offer(Duration::ZERO, packet, &[0; FULL]));
        }
    }
    assert_eq!(verdicts.last(), Some(&Verdict::Dropped));
    // Three seconds of the link.
    assert!(scheduler.bytes() <= 562_500);
    assert_eq!(
        scheduler.offer(Duration::ZERO, opening(200), &[0; SHORT]),
        Verdict::Queued,
    );
}

/// Plays a link of which a fifth of the configured rate is left between two times, with an opening
/// packet and a request every 20 ms; returns the longest wait in the link itself by second.
fn play_squeezed(adaptive: bool) -> Vec<Duration> {
    let mut scheduler = scheduler();
    let mut link = Link::new(1.5);
    let mut waits = vec![Duration::ZERO; 9];
    let mut answers: Vec<(Duration, PacketKey)> = Vec::new();
    let mut now = Duration::ZERO;
    for step in 0..9_000_u32 {
        now += millis(1);
        let squeezed = (millis(1_000)..millis(5_000)).contains(&now);
        let rate = if squeezed { 0.3 } else { 1.5 };
        link.bandwidth = Bandwidth::from_megabits(rate).unwrap();
        let mut departed = Vec::new();
        if step % 20 == 0 {
            let port = u16::try_from(step / 20 + 1).unwrap();
            for (packet, bytes) in [
                (opening(port), SHORT),
                (data(Class::Request { priority: 0 }, port, 1), 1_100),
            ] {
                match scheduler.offer(now, packet, &vec![0; bytes]) {
                    Verdict::Send => departed.push((packet.key.unwrap(), bytes)),
                    Verdict::Dropped | Verdict::Queued => {}
                }
            }
        }
        while let Some(departure) = scheduler.next(now) {
            departed.push((departure.key.unwrap(), departure.bytes.len()));
        }
        for (key, bytes) in departed {
            let left = link.send(now, bytes + 28);
            let second = usize::try_from(now.as_secs()).unwrap();
            waits[second.min(8)] = waits[second.min(8)].max(left - now);
            if key.opening {
                answers.push((
                    left + millis(7),
                    PacketKey {
                        opening: false,
                        sequence: 1,
                        ..key
                    },
                ));
            }
        }
        answers.retain(|(at, key)| {
            if adaptive && *at <= now {
                scheduler.record_established(now, *key);
            }
            *at > now
        });
    }
    waits
}

#[test]
fn record_established_squeezed_link() {
    let assumed = play_squeezed(false);
    assert!(assumed[4] > Duration::from_secs(1), "{assumed:?}");
    let found_out = play_squeezed(true);
    assert!(
        found_out[3..5].iter().all(|wait| *wait < millis(600)),
        "{found_out:?}"
    );
    // Once the link is wide again, nothing waits in it, and the rate is what is configured.
    assert!(found_out[8] < millis(30), "{found_out:?}");
}

#[test]
fn record_established_other_entry_meanwhile() {
    let mut scheduler = scheduler();
    let rate = scheduler.bandwidth();
    scheduler.offer(Duration::ZERO, opening(1), &[0; SHORT]);
    scheduler.record_established(millis(7), key(1, 1));
    for port in 2..20 {
        let at = millis(u64::from(port) * 100);
        scheduler.offer(at, opening(port), &[0; SHORT]);
        // A later request of the flow is the first packet that comes back here.
        scheduler.record_established(at + millis(700), key(port, 300));
    }
    assert_eq!(scheduler.bandwidth(), rate);
    assert_eq!(scheduler.congested_at(), None);
}

#[test]
fn congested_at_long_wait() {
    let mut scheduler = scheduler();
    for port in 1..=3 {
        offer_window(&mut scheduler, Duration::ZERO, Class::Bulk, port);
    }
    let last = drain(&mut scheduler).last().unwrap().0;
    assert_eq!(scheduler.congested_at(), Some(last));
}
