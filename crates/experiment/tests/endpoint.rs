//! The model of an endpoint.

use mimosausher_experiment::{
    Admission,
    Endpoint,
    RequestKey, //
};

#[test]
fn admit_until_full() {
    let mut endpoint = Endpoint::new(0, 0, 2, 3);
    let mut requests = slotmap::SlotMap::<RequestKey, ()>::with_key();
    let keys: Vec<_> = (0..6).map(|_| requests.insert(())).collect();
    let admitted = keys.iter().map(|key| endpoint.admit(*key));
    let expected = [
        Admission::Started,
        Admission::Started,
        Admission::Queued,
        Admission::Queued,
        Admission::Queued,
        Admission::Shed,
    ];
    assert_eq!(admitted.collect::<Vec<_>>(), expected);
    assert_eq!(endpoint.pressure(), 2.5);
    assert_eq!(endpoint.finish(), Some(keys[2]));
    assert_eq!(endpoint.finish(), Some(keys[3]));
    assert_eq!(endpoint.finish(), Some(keys[4]));
    assert_eq!(endpoint.finish(), None);
    assert_eq!(endpoint.finish(), None);
    assert_eq!(endpoint.pressure(), 0.0);
}
