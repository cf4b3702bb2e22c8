//! The performance of endpoints as entries and stores pass it on.

use std::time::Duration;

use mimosausher_edge::{
    EndpointPerformance,
    FollowerReport,
    Gossip,
    LoadStep,
    LoadSums,
    PERFORMANCE_INTERVAL,
    PerformanceSent,
    PerformanceSums,
    Push,
    SourceKey,
    StorePerformance, //
};

fn at(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

fn keys() -> [SourceKey; 2] {
    let mut sums = LoadSums::new(LoadStep { busy: 1, flows: 1 });
    [sums.add_source(), sums.add_source()]
}

/// Observations of the lightest load: a count and a mean time.
fn report(reference: u32, count: u32, time: u32) -> EndpointPerformance {
    EndpointPerformance {
        levels: [(16 * count, 16 * count * time), (0, 0), (0, 0)],
        reference,
    }
}

fn changed(sums: &PerformanceSums, now: Duration, since: u64) -> Vec<EndpointPerformance> {
    sums.changed_since(now, since).collect()
}

#[test]
fn report_replaces_what_a_source_reported() {
    let (mut sums, [first, second]) = (PerformanceSums::new(), keys());
    sums.report(at(0), first, &[report(7, 10, 2)]);
    sums.report(at(0), second, &[report(7, 4, 1), report(8, 1, 1)]);
    let before = sums.last_change();
    // A lost or repeated report does no harm.
    sums.report(at(0), first, &[report(7, 12, 2)]);
    sums.report(at(0), first, &[report(7, 12, 2)]);
    let [sum] = changed(&sums, at(0), before)[..] else {
        panic!("one endpoint has changed");
    };
    assert_eq!(sum.levels[0], (16 * 16, 16 * 28));
    sums.remove_source(at(0), first);
    assert_eq!(changed(&sums, at(0), 0).last(), Some(&report(7, 4, 1)));
}

#[test]
fn report_fades() {
    let (mut sums, [first, _]) = (PerformanceSums::new(), keys());
    sums.report(at(0), first, &[report(7, 10, 2)]);
    let faded = changed(&sums, at(3_000), 0)[0].levels[0];
    assert_eq!(faded, (59, 118));
    sums.retain(at(3_000));
    assert_eq!(sums.len(), 1);
    sums.retain(at(60_000));
    assert!(sums.is_empty());
}

#[test]
fn restarted_store_has_its_sums_after_one_report_of_each_follower() {
    let [first, second] = keys();
    let reports = [report(7, 10, 2), report(7, 4, 1)];
    let mut before = StorePerformance::new();
    for (key, report) in [first, second].into_iter().zip(reports) {
        before.report(at(0), key, &[report]);
        before.report(at(0), key, &[report]);
    }
    let mut after = StorePerformance::new();
    after.report(at(0), first, &reports[..1]);
    after.report(at(0), second, &reports[1..]);
    let [before, after] = [before, after].map(|store| changed(store.total(), at(0), 0));
    assert_eq!(before, after);
}

#[test]
fn merge_stays_out_of_what_other_stores_are_sent() {
    let (mut store, [first, second]) = (StorePerformance::new(), keys());
    store.report(at(0), first, &[report(7, 10, 2)]);
    store.merge(at(0), second, &[report(8, 10, 2)]);
    assert_eq!(changed(store.local(), at(0), 0), [report(7, 10, 2)]);
    assert_eq!(changed(store.total(), at(0), 0).len(), 2);
    store.remove(at(0), second);
    assert_eq!(changed(store.total(), at(0), 1)[0].levels[0], (0, 0));
}

#[test]
fn changes_once_in_an_interval() {
    let (mut sums, [first, _]) = (PerformanceSums::new(), keys());
    let sent = PerformanceSent::default();
    sums.report(at(0), first, &[report(7, 10, 2), report(8, 10, 2)]);
    let wanted = |reference| reference == 7;
    assert_eq!(sent.changes(at(0), &sums, wanted), [report(7, 10, 2)]);
    sums.report(at(1), first, &[report(7, 20, 2)]);
    assert_eq!(sent.changes(at(1), &sums, wanted), []);
    let due = at(1) + PERFORMANCE_INTERVAL;
    assert_eq!(sent.changes(due, &sums, wanted).len(), 1);
    let due = due + PERFORMANCE_INTERVAL;
    assert_eq!(sent.changes(due, &sums, wanted), []);
}

/// Messages of a version without performance end before it.
#[test]
fn decode_messages_without_performance() {
    let [mut push, mut report, mut gossip] = [
        postcard::to_stdvec(&Push::default()).unwrap(),
        postcard::to_stdvec(&FollowerReport::default()).unwrap(),
        postcard::to_stdvec(&Gossip::default()).unwrap(),
    ];
    for bytes in [&mut push, &mut report, &mut gossip] {
        assert_eq!(bytes.pop(), Some(0));
    }
    assert!(postcard::from_bytes::<Push>(&push).is_ok());
    assert!(postcard::from_bytes::<FollowerReport>(&report).is_ok());
    assert!(postcard::from_bytes::<Gossip>(&gossip).is_ok());
}
