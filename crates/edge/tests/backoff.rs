//! Timeouts and pauses of connection attempts.

use std::time::Duration;

use mimosausher_edge::Backoff;

/// Time after which clients first retransmit.
const RETRANSMISSION_MIN: Duration = Duration::from_millis(200);

/// After a total power loss, the stores restart one by one within three seconds: attempts must be
/// quick.
#[test]
fn fail_after_power_loss() {
    let mut backoff = Backoff::quick();
    let mut now = Duration::ZERO;
    while now < Duration::from_secs(3) {
        assert!(backoff.parallelism() > 1);
        let round = backoff.connect_timeout() + backoff.fail();
        assert!(round < RETRANSMISSION_MIN, "{round:?} at {now:?}");
        now += round;
    }
}

/// The stores stay down: attempts become rare, and go to one store each.
#[test]
fn fail_for_long() {
    let mut backoff = Backoff::quick();
    let mut now = Duration::ZERO;
    while now < Duration::from_secs(20) {
        now += backoff.connect_timeout() + backoff.fail();
    }
    assert_eq!(backoff.parallelism(), 1);
    let pause = backoff.fail();
    assert!(pause >= RETRANSMISSION_MIN, "{pause:?}");
}

#[test]
fn fail_after_success() {
    let mut backoff = Backoff::quick();
    backoff.succeed();
    assert_eq!(backoff.parallelism(), 1);
    let first = backoff.connect_timeout();
    backoff.fail();
    assert!(backoff.connect_timeout() > first);
    backoff.succeed();
    assert_eq!(backoff.connect_timeout(), first);
}
