//! Which new flows a narrow link takes, against one that takes all.

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

const COMMAND: Class = Class::Request { priority: 1 };

/// Bytes of a full packet.
const FULL: usize = 1_240;

/// Bytes of a command.
const SHORT: usize = 900;

fn millis(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

fn request(class: Class, port: u16, sequence: u32) -> Description {
    let address: SocketAddr = "10.0.0.1:80".parse().unwrap();
    Description {
        class,
        key: Some(PacketKey {
            flow: FlowKey {
                client: format!("100.64.0.1:{port}").parse().unwrap(),
                destination: "198.18.0.1:443".parse().unwrap(),
            },
            opening: false,
            sequence,
        }),
        to: address,
    }
}

fn scheduler() -> Scheduler {
    Scheduler::new(Bandwidth::from_megabits(1.5).unwrap())
}

/// A link that three uploads fill for 300 ms.
fn behind_uploads() -> Scheduler {
    let mut scheduler = scheduler();
    for port in 1..=3 {
        for sequence in 0..16 {
            let packet = request(Class::Bulk, port, sequence);
            scheduler.offer(Duration::ZERO, packet, &[0; FULL]);
        }
    }
    assert!(scheduler.backlog() > millis(280));
    scheduler
}

/// Plays a second of commands, three times of what the link carries; returns the waits of those
/// that leave and the number of those refused.
fn play_burst(objective: Option<Duration>) -> (Vec<Duration>, usize) {
    let mut scheduler = scheduler();
    let (mut waits, mut refused) = (Vec::new(), 0);
    let mut answers = Vec::new();
    for step in 0..3_000_u32 {
        let now = millis(step.into());
        while let Some(departure) = scheduler.next(now) {
            waits.push(departure.waited);
        }
        if step < 1_000 && step.is_multiple_of(5) {
            // Three flows in 5 ms; the link carries one command in that time.
            for flow in 0..3 {
                match scheduler.admission(COMMAND).admits(objective) {
                    true => answers.push((now + millis(7), step + flow)),
                    false => refused += 1,
                }
            }
        }
        let (due, later): (Vec<_>, Vec<_>) = answers.into_iter().partition(|(at, _)| *at <= now);
        answers = later;
        for (_, number) in due {
            let port = u16::try_from(1_024 + number).unwrap();
            if scheduler.offer(now, request(COMMAND, port, 1), &[0; SHORT]) == Verdict::Send {
                waits.push(Duration::ZERO);
            }
        }
    }
    (waits, refused)
}

#[test]
fn admit_burst_three_times() {
    let objective = millis(200);
    let (waits, refused) = play_burst(Some(objective));
    // The wait that is allowed, and what flows that were open already add in 7 ms.
    let longest = waits.iter().max().unwrap();
    assert!(*longest <= objective * 3 / 4, "{longest:?}");
    // The link is never idle: refused is only what it could not carry.
    assert!(waits.len() >= 200, "{} left", waits.len());
    assert_eq!(waits.len() + refused, 600);
    let (all, _) = play_burst(None);
    let late = all.iter().filter(|wait| **wait > objective).count();
    assert!(late > 300, "{late} late without refusals");
}

#[test]
fn admit_commands_behind_uploads() {
    let mut scheduler = behind_uploads();
    let objective = millis(60);
    assert!(scheduler.admission(COMMAND).admits(Some(objective)));
    scheduler.offer(Duration::ZERO, request(COMMAND, 9, 1), &[0; SHORT]);
    let mut departures = Vec::new();
    while let Some(due) = scheduler.due() {
        departures.extend(scheduler.next(due).map(|departure| (due, departure)));
    }
    let command = request(COMMAND, 9, 1).key;
    let (at, _) = departures.iter().find(|(_, d)| d.key == command).unwrap();
    assert!(*at <= objective / 2, "{at:?}");
}

#[test]
fn admit_upload_behind_uploads() {
    let mut scheduler = behind_uploads();
    let admits = |scheduler: &Scheduler, objective| {
        let admission = scheduler.admission(Class::Bulk);
        admission.admits(Some(millis(objective)))
    };
    assert!(!admits(&scheduler, 400));
    assert!(admits(&scheduler, 800));
    while let Some(due) = scheduler.due() {
        scheduler.next(due);
    }
    assert_eq!(scheduler.wait_of(Class::Bulk), Duration::ZERO);
    assert!(admits(&scheduler, 1));
}

#[test]
fn admit_upload_without_objective() {
    let scheduler = behind_uploads();
    assert!(scheduler.admission(Class::Bulk).admits(None));
}

/// Bulk gets an eighth of the link while commands wait, so these wait an eighth longer.
#[test]
fn wait_of_commands_between_uploads() {
    let mut scheduler = behind_uploads();
    for port in 10..30 {
        scheduler.offer(Duration::ZERO, request(COMMAND, port, 1), &[0; SHORT]);
    }
    let bandwidth = scheduler.bandwidth();
    let wait = scheduler.wait_of(COMMAND);
    assert_eq!(wait, bandwidth.time_for(20 * SHORT * 9 / 8));
    assert_eq!(scheduler.wait_of(Class::Bulk), scheduler.backlog());
}

#[test]
fn wait_of_commands_after_uploads() {
    let mut scheduler = behind_uploads();
    let mut now = Duration::ZERO;
    while let Some(due) = scheduler.due() {
        scheduler.next(due);
        now = due;
    }
    for port in 10..30 {
        scheduler.offer(now, request(COMMAND, port, 1), &[0; SHORT]);
    }
    let bytes = scheduler.bytes();
    assert!(bytes > 10 * SHORT);
    let expected = scheduler.bandwidth().time_for(bytes + bytes / 8);
    assert_eq!(scheduler.wait_of(COMMAND), expected);
}
