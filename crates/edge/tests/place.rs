//! How far data centres are from an entry.

use std::collections::BTreeMap;

use mimosausher_edge::Place;
use placement::Distance;

#[test]
fn distance_two_regions() {
    let regions = [("a", "north"), ("b", "north"), ("c", "south")];
    let regions = regions.map(|(centre, region)| (centre.into(), region.into()));
    let place = Place::new("a").with_regions(BTreeMap::from(regions));
    assert_eq!(place.distance("a"), Distance::Centre);
    assert_eq!(place.distance("b"), Distance::Region);
    assert_eq!(place.distance("c"), Distance::Far);
    assert_eq!(place.distance("d"), Distance::Region);
}

#[test]
fn distance_no_regions() {
    let place = Place::new("a");
    assert_eq!(place.distance("a"), Distance::Centre);
    assert_eq!(place.distance("b"), Distance::Region);
}
