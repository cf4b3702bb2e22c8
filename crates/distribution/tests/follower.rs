//! Tests that an unresponsive, isolated or lagging upstream is replaced and revisions never
//! decrease.

use std::time::Duration;

use mimosausher_distribution::{
    Answer,
    Follower,
    FollowerAction as Action,
    FollowerEvent as Event,
    MAX_LAG,
    POLL_TIMEOUT,
    Poll,
    UPSTREAM_BACKOFF, //
};

const ZERO: Duration = Duration::ZERO;

/// The poll of a follower that has applied a confirmed document.
fn poll(to: u32, brief: bool, revision: u64) -> Action<u32> {
    let fresh = false;
    let poll = Poll {
        brief,
        fresh,
        revision,
    };
    Action::Poll { poll, to }
}

/// The poll of a follower that has just started.
fn first_poll(to: u32, brief: bool) -> Action<u32> {
    let poll = Poll {
        brief,
        fresh: true,
        revision: 0,
    };
    Action::Poll { poll, to }
}

fn answer(from: u32, confirmed: bool, revision: u64, update: bool) -> Event<u32> {
    let answer = Answer {
        confirmed,
        revision,
        update,
    };
    Event::Answer { answer, from }
}

/// A follower of the upstreams 1, 2 and 3 that has applied revision 5 from the first.
fn up_to_date() -> Follower<u32> {
    let mut follower = Follower::new();
    let actions = follower.handle(ZERO, Event::Upstreams(vec![1, 2, 3]));
    assert_eq!(actions, [first_poll(1, false), first_poll(2, true)]);
    let actions = follower.handle(ZERO, answer(1, true, 5, true));
    assert_eq!(actions, [Action::Apply(5), poll(1, false, 5)]);
    let actions = follower.handle(ZERO, answer(2, true, 5, false));
    assert_eq!(actions, [poll(2, true, 5)]);
    assert!(follower.confirmed());
    follower
}

#[test]
fn answer_older_revision() {
    let mut follower = up_to_date();
    let actions = follower.handle(ZERO, answer(1, true, 4, true));
    assert_eq!(actions, [poll(1, false, 5)]);
    assert_eq!(follower.revision(), 5);
}

#[test]
fn answer_unconfirmed_restart() {
    let mut follower = Follower::new();
    follower.handle(ZERO, Event::Upstreams(vec![1, 2]));
    let actions = follower.handle(ZERO, answer(1, false, 3, true));
    assert_eq!(actions, [Action::Close(1)]);
    assert_eq!((follower.revision(), follower.confirmed()), (0, false));
    follower.handle(ZERO, answer(2, true, 5, false));
    assert!(!follower.confirmed());
    let actions = follower.handle(ZERO, answer(2, true, 5, true));
    assert!(actions.contains(&Action::Apply(5)));
    assert!(follower.confirmed());
}

#[test]
fn answer_unconfirmed_upstream() {
    let mut follower = up_to_date();
    let actions = follower.handle(ZERO, answer(1, false, 5, false));
    assert_eq!(actions, [Action::Close(1), poll(3, true, 5)]);
    assert_eq!(follower.followed().collect::<Vec<_>>(), [2, 3]);
    let actions = follower.handle(ZERO, answer(2, true, 5, false));
    assert_eq!(actions, [poll(2, false, 5)]);
}

#[test]
fn lost_every_upstream() {
    let mut follower = up_to_date();
    for key in [1, 2, 3] {
        follower.handle(ZERO, Event::Lost(key));
    }
    assert_eq!(follower.followed().count(), 0);
    assert_eq!((follower.revision(), follower.confirmed()), (5, true));
    assert_eq!(follower.next_tick(), Some(UPSTREAM_BACKOFF));
    let actions = follower.handle(UPSTREAM_BACKOFF, Event::Tick);
    assert_eq!(actions, [poll(1, false, 5), poll(2, true, 5)]);
}

#[test]
fn tick_behind() {
    let mut follower = up_to_date();
    let actions = follower.handle(ZERO, answer(2, true, 6, false));
    assert_eq!(actions, [poll(2, true, 6)]);
    assert_eq!(follower.next_tick(), Some(MAX_LAG));
    let actions = follower.handle(MAX_LAG, Event::Tick);
    assert_eq!(actions, [poll(2, false, 5)]);
    let actions = follower.handle(MAX_LAG, answer(2, true, 6, true));
    assert_eq!(actions, [Action::Apply(6)]);
    assert_eq!(follower.followed().collect::<Vec<_>>(), [2, 1]);
}

#[test]
fn tick_unresponsive_upstream() {
    let mut follower = up_to_date();
    let early = POLL_TIMEOUT - Duration::from_millis(1);
    assert_eq!(follower.handle(early, Event::Tick), []);
    follower.handle(early, answer(2, true, 5, false));
    let actions = follower.handle(POLL_TIMEOUT, Event::Tick);
    assert_eq!(actions, [Action::Close(1), poll(3, true, 5)]);
}

#[test]
fn upstreams_changed() {
    let mut follower = up_to_date();
    let actions = follower.handle(ZERO, Event::Upstreams(vec![4, 2]));
    assert_eq!(actions, [Action::Close(1), poll(4, true, 5)]);
    assert_eq!(follower.followed().collect::<Vec<_>>(), [2, 4]);
}

#[test]
fn handle_any_order() {
    bolero::check!()
        .with_type::<Vec<(u8, u8, bool, bool, u8)>>()
        .for_each(|steps| {
            let mut follower = up_to_date();
            let mut now = ZERO;
            let mut revision = follower.revision();
            for (kind, key, confirmed, update, number) in steps {
                now += Duration::from_millis(u64::from(*number) * 20);
                let key = u32::from(*key % 4);
                let event = match kind % 4 {
                    0 => Event::Lost(key),
                    1 => Event::Tick,
                    2 => Event::Upstreams((0..key).collect()),
                    _ => answer(key, *confirmed, u64::from(*number), *update),
                };
                follower.handle(now, event);
                assert!(follower.revision() >= revision);
                assert!(follower.followed().count() <= 2);
                revision = follower.revision();
            }
        });
}
